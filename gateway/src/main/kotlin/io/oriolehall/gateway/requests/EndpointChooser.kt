package io.oriolehall.gateway.requests

import io.oriolehall.dispatch.endpoints.EndpointCondition
import io.oriolehall.dispatch.endpoints.EndpointIncarnation
import io.oriolehall.dispatch.endpoints.SendDecision
import io.oriolehall.dispatch.endpoints.SendPolicy
import io.oriolehall.dispatch.limits.ColdRateShare
import io.oriolehall.dispatch.placement.Placement
import io.oriolehall.dispatch.placement.PlacementCandidate
import io.oriolehall.dispatch.placement.PlacementRequest
import io.oriolehall.dispatch.retries.SecondAttemptPolicy
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.upstream.EndpointPool
import io.oriolehall.gateway.upstream.EndpointPools
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId

/**
 * Chooses the endpoint for an attempt among those that [SendPolicy] allows.
 *
 * @param instances all live instances, which share the endpoints.
 * @param unreachableZones zones whose endpoints are used only if no other endpoint is left.
 * @param coldFactor factor applied to a service's limit for cold endpoints.
 * @param coldSlack requests per second that are allowed in addition.
 */
internal class EndpointChooser(
    private val self: Instance,
    private val pools: EndpointPools,
    private val instances: () -> Set<InstanceId>,
    private val unreachableZones: () -> Set<ZoneId>,
    private val placement: Placement,
    private val coldFactor: Double,
    private val coldSlack: Double,
) {
    private var lastInstances = emptySet<InstanceId>()
    private var coldShares = ColdRateShare(self.id, lastInstances)

    /**
     * Chooses an endpoint for [context] that is not in [tried].
     *
     * @param sendAtMs when the request will be sent, monotonic milliseconds.
     */
    fun choose(
        context: RequestContext,
        inputZone: ZoneId?,
        tried: Set<EndpointIncarnation>,
        sendAtMs: Long = TrafficLoop.nowMs(),
    ): EndpointChoice {
        val usable = untried(context, tried)
        val evaluation = evaluate(context, usable, inputZone, sendAtMs)
        evaluation.chosen?.let { return EndpointChoice.Chosen(it) }
        return EndpointChoice.None(evaluation.decisions.mapNotNull { it.decision as? SendDecision.Denied })
    }

    /**
     * Decides for each of [endpoints], pools of the service of [context], whether it may receive the request, and which
     * of them receives it. Changes nothing.
     *
     * @param sendAtMs when the request will be sent, monotonic milliseconds.
     */
    fun evaluate(
        context: RequestContext,
        endpoints: List<EndpointPool>,
        inputZone: ZoneId?,
        sendAtMs: Long,
    ): EndpointEvaluation {
        val decisions = conditions(context, endpoints).map {
            EndpointEvaluation.Entry(it.pool, SendPolicy.decide(it.condition, sendAtMs), it.coldShare)
        }
        val bestRank = decisions.minOfOrNull { (it.decision as? SendDecision.Allowed)?.rank ?: Int.MAX_VALUE }
        val best = decisions.filter { (it.decision as? SendDecision.Allowed)?.rank == bestRank }.map { it.pool }
        if (best.isEmpty()) return EndpointEvaluation(decisions, emptyList(), chosen = null)
        val candidates = candidates(best)
        return EndpointEvaluation(decisions, candidates, place(context, best, candidates, inputZone))
    }

    private fun untried(context: RequestContext, tried: Set<EndpointIncarnation>): List<EndpointPool> =
        pools.access.endpoints(context.service).filter { it.incarnation !in tried }.map(pools::poolOf)

    private fun place(
        context: RequestContext,
        usable: List<EndpointPool>,
        candidates: List<PlacementCandidate>,
        inputZone: ZoneId?,
    ): EndpointPool {
        // Requests that share all parts of the prompt but the last one can use the same cached prefix.
        val request = PlacementRequest(context.sharedPromptParts.lastOrNull(), inputZone, self.zone)
        val chosen = checkNotNull(placement.choose(candidates, request)).endpoint.incarnation
        return usable.first { it.endpoint.incarnation == chosen }
    }

    /** Chooses an endpoint for a second attempt at [context] that is not in [tried]; null if none may get it. */
    fun chooseForSecondAttempt(context: RequestContext, tried: Set<EndpointIncarnation>): EndpointPool? {
        val nowMs = TrafficLoop.nowMs()
        val hasColdLimit = (context.plan.service(context.service)?.coldPerSecond ?: 0.0) > 0
        val permitted = conditions(context, untried(context, tried)).filter {
            val slots = it.pool.endpoint.slots
            SecondAttemptPolicy.permits(it.condition, it.pool.mayBeCold(nowMs, hasColdLimit), slots, nowMs)
        }.map { it.pool }
        return if (permitted.isEmpty()) null else place(context, permitted, candidates(permitted), inputZone = null)
    }

    /** Slots of the endpoints of [service], without those that pause. */
    fun slots(service: String): Int {
        val nowMs = TrafficLoop.nowMs()
        return pools.access.endpoints(service)
            .filter { (pools.access.condition(it).pause?.untilMs ?: Long.MIN_VALUE) <= nowMs }
            .sumOf { it.slots }
    }

    private class KnownCondition(val pool: EndpointPool, val condition: EndpointCondition, val coldShare: Int?)

    private fun conditions(
        context: RequestContext,
        endpoints: List<EndpointPool>,
    ): List<KnownCondition> {
        val nowMs = TrafficLoop.nowMs()
        val service = context.plan.service(context.service)
        val coldPerSecond = service?.coldPerSecond?.takeIf { it > 0 }?.let { it * coldFactor + coldSlack }
        val maxConnections = service?.maxConnections?.takeIf { it > 0 }?.let(::connectionShare)
        val cutOff = unreachableZones()
        return endpoints.map {
            val coldShare = coldPerSecond?.let { perSecond -> coldShare(it, perSecond) }
            val withinColdLimit = coldShare == null || it.coldLimit.allows(nowMs, coldShare)
            val condition = it.condition(nowMs, it.endpoint.zone in cutOff, withinColdLimit, maxConnections)
            KnownCondition(it, condition, coldShare)
        }
    }

    private fun candidates(usable: List<EndpointPool>): List<PlacementCandidate> {
        val responseTimes = usable.map { it.health.responseMs }.filter { it > 0 }.sorted()
        val medianMs = responseTimes.getOrNull(responseTimes.size / 2)
        return usable.map { PlacementCandidate(it.endpoint, it.outstanding, slowness(it, medianMs), it.hash) }
    }

    private fun coldShare(pool: EndpointPool, coldPerSecond: Double): Int {
        val liveInstances = instances()
        if (liveInstances !== lastInstances) {
            lastInstances = liveInstances
            coldShares = ColdRateShare(self.id, liveInstances)
        }
        return coldShares.of(pool.endpoint.id, coldPerSecond)
    }

    /** This instance's share of an endpoint's connection limit; endpoints reset connections beyond that limit. */
    private fun connectionShare(maxConnections: Int): Int =
        maxOf(1, (maxConnections * USABLE_CONNECTION_SHARE / maxOf(1, instances().size)).toInt())

    /** Response time relative to [medianMs], at least 1, plus the failure rate; 1 if there is no response time yet. */
    private fun slowness(pool: EndpointPool, medianMs: Double?): Double {
        val ownMs = pool.health.responseMs
        return if (medianMs == null || ownMs == 0.0) 1.0 else maxOf(1.0, ownMs / medianMs) + pool.health.failureRate
    }

    private companion object {
        /** Usable share of an endpoint's connection limit; the rest covers closed connections that it still counts. */
        const val USABLE_CONNECTION_SHARE = 0.9
    }
}
