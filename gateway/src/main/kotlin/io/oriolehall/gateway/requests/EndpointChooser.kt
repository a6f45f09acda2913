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
        val decisions = conditions(context, tried).map { (pool, condition) ->
            pool to SendPolicy.decide(condition, sendAtMs)
        }
        val allowed = decisions.mapNotNull { (pool, decision) ->
            (decision as? SendDecision.Allowed)?.let { pool to it }
        }
        val bestRank = allowed.minOfOrNull { (_, decision) -> decision.rank }
            ?: return EndpointChoice.None(decisions.mapNotNull { (_, decision) -> decision as? SendDecision.Denied })
        val best = allowed.filter { (_, decision) -> decision.rank == bestRank }.map { (pool, _) -> pool }
        return EndpointChoice.Chosen(place(context, best, inputZone))
    }

    /** Chooses an endpoint for a second attempt at [context] that is not in [tried]; null if none may get it. */
    fun chooseForSecondAttempt(context: RequestContext, tried: Set<EndpointIncarnation>): EndpointPool? {
        val nowMs = TrafficLoop.nowMs()
        val hasColdLimit = (context.plan.service(context.service)?.coldPerSecond ?: 0.0) > 0
        val permitted = conditions(context, tried).filter { (pool, condition) ->
            SecondAttemptPolicy.permits(condition, pool.mayBeCold(nowMs, hasColdLimit), pool.endpoint.slots, nowMs)
        }
        return if (permitted.isEmpty()) null else place(context, permitted.map { (pool, _) -> pool }, inputZone = null)
    }

    /** Slots of the endpoints of [service], without those that pause. */
    fun slots(service: String): Int {
        val nowMs = TrafficLoop.nowMs()
        return pools.access.endpoints(service)
            .filter { (pools.access.condition(it).pause?.untilMs ?: Long.MIN_VALUE) <= nowMs }
            .sumOf { it.slots }
    }

    private fun conditions(
        context: RequestContext,
        tried: Set<EndpointIncarnation>,
    ): List<Pair<EndpointPool, EndpointCondition>> {
        val nowMs = TrafficLoop.nowMs()
        val service = context.plan.service(context.service)
        val coldPerSecond = service?.coldPerSecond?.takeIf { it > 0 }?.let { it * coldFactor + coldSlack }
        val maxConnections = service?.maxConnections?.takeIf { it > 0 }?.let(::connectionShare)
        val cutOff = unreachableZones()
        return pools.access.endpoints(context.service).filter { it.incarnation !in tried }.map(pools::poolOf).map {
            val withinColdLimit = coldPerSecond == null || it.coldLimit.allows(nowMs, coldShare(it, coldPerSecond))
            it to it.condition(nowMs, it.endpoint.zone in cutOff, withinColdLimit, maxConnections)
        }
    }

    private fun place(context: RequestContext, usable: List<EndpointPool>, inputZone: ZoneId?): EndpointPool {
        val responseTimes = usable.map { it.health.responseMs }.filter { it > 0 }.sorted()
        val medianMs = responseTimes.getOrNull(responseTimes.size / 2)
        val candidates = usable.map {
            PlacementCandidate(it.endpoint, it.outstanding, slowness(it, medianMs), it.hash)
        }
        // Requests that share all parts of the prompt but the last one can use the same cached prefix.
        val request = PlacementRequest(context.sharedPromptParts.lastOrNull(), inputZone, self.zone)
        return pools.poolOf(checkNotNull(placement.choose(candidates, request)).endpoint)
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
