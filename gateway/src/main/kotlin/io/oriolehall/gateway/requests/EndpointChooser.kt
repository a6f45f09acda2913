package io.oriolehall.gateway.requests

import io.oriolehall.dispatch.endpoints.EndpointIncarnation
import io.oriolehall.dispatch.endpoints.EndpointSnapshot
import io.oriolehall.dispatch.limits.ColdRateShare
import io.oriolehall.dispatch.placement.Placement
import io.oriolehall.dispatch.placement.PlacementCandidate
import io.oriolehall.dispatch.placement.PlacementRequest
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.upstream.EndpointPool
import io.oriolehall.gateway.upstream.EndpointPools
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId

/**
 * Chooses the endpoint for an attempt among the registered endpoints that are within their cold and connection limits.
 * Endpoints excluded for recent failures are used only if no other endpoint is left.
 *
 * @param instances all live instances, which share the endpoints.
 * @param unreachableZones zones whose endpoints are used only if no other endpoint is left.
 * @param coldFactor factor applied to a service's limit for cold endpoints.
 * @param coldSlack requests per second that are allowed in addition.
 */
internal class EndpointChooser(
    private val self: Instance,
    private val pools: EndpointPools,
    private val snapshot: () -> EndpointSnapshot,
    private val instances: () -> Set<InstanceId>,
    private val unreachableZones: () -> Set<ZoneId>,
    private val placement: Placement,
    private val coldFactor: Double,
    private val coldSlack: Double,
) {
    private var lastInstances = emptySet<InstanceId>()
    private var coldShares = ColdRateShare(self.id, lastInstances)

    /** Chooses an endpoint for [context] that is not in [tried]; null when none is available. */
    fun choose(context: RequestContext, inputZone: ZoneId?, tried: Set<EndpointIncarnation>): EndpointPool? {
        val nowMs = TrafficLoop.nowMs()
        val service = context.table.service(context.service)
        val coldPerSecond = service?.coldPerSecond?.takeIf { it > 0 }?.let { it * coldFactor + coldSlack }
        val connectionsPerInstance = service?.maxConnections?.takeIf { it > 0 }?.let(::connectionShare)
        val untried = snapshot().usable(context.service).filter { it.incarnation !in tried }.map(pools::poolOf)
        val withinLimits = untried
            .filter { coldPerSecond == null || it.coldLimit.allows(nowMs, coldShare(it, coldPerSecond)) }
            .filter { connectionsPerInstance == null || it.hasCapacity(connectionsPerInstance) }
        val cutOff = unreachableZones()
        val reachable = withinLimits.filterNot { it.endpoint.zone in cutOff }.ifEmpty { withinLimits }
        val healthy = reachable.filterNot { it.health.isExcluded(nowMs) }.ifEmpty { reachable }
        val medianMs = healthy.map {
            it.health.responseMs
        }.filter { it > 0 }.sorted().let { it.getOrNull(it.size / 2) }
        val candidates = healthy.map {
            PlacementCandidate(it.endpoint, it.outstanding, slowness(it, medianMs), it.hash)
        }
        // Requests that share all parts of the prompt but the last one can use the same cached prefix.
        val request = PlacementRequest(context.sharedPromptParts.lastOrNull(), inputZone, self.zone)
        return placement.choose(candidates, request)?.let { pools.poolOf(it.endpoint) }
    }

    /** True when a usable endpoint outside [tried] is registered, even if it is at its limits now. */
    fun mayBecomeAvailable(context: RequestContext, tried: Set<EndpointIncarnation>): Boolean =
        snapshot().usable(context.service).any { it.incarnation !in tried }

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
