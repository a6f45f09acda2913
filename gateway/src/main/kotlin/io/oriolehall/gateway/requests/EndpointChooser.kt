package io.oriolehall.gateway.requests

import io.oriolehall.dispatch.endpoints.EndpointLife
import io.oriolehall.dispatch.endpoints.EndpointSnapshot
import io.oriolehall.dispatch.limits.ColdShare
import io.oriolehall.dispatch.placement.Placement
import io.oriolehall.dispatch.placement.PlacementCandidate
import io.oriolehall.dispatch.placement.PlacementRequest
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.upstream.EndpointPool
import io.oriolehall.gateway.upstream.EndpointPools
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId

/**
 * Chooses the endpoint for an attempt among those that are registered, not excluded by recent failures and within
 * their cold and connection limits.
 *
 * @param instances all live instances; they send to the same endpoints.
 * @param coldFactor factor on a service's cold limit within which its endpoints bear requests.
 * @param coldSlack requests a second above it.
 */
internal class EndpointChooser(
    private val self: Instance,
    private val pools: EndpointPools,
    private val snapshot: () -> EndpointSnapshot,
    private val instances: () -> Set<InstanceId>,
    private val placement: Placement,
    private val wire: WireProtocol,
    private val coldFactor: Double,
    private val coldSlack: Double,
) {
    private var known = emptySet<InstanceId>()
    private var shares = ColdShare(self.id, known)

    /** An endpoint for [context] other than those [tried], or null when there is none. */
    fun choose(context: RequestContext, inputZone: ZoneId?, tried: Set<EndpointLife>): EndpointPool? {
        val nowMs = TrafficLoop.nowMs()
        val service = context.table.service(context.service)
        val perSecond = service?.coldPerSecond?.takeIf { it > 0 }?.let { it * coldFactor + coldSlack }
        val perInstance = service?.maxConnections?.takeIf { it > 0 }?.let(::connectionShare)
        val all = snapshot().usable(context.service).filter { it.life !in tried }.map(pools::of)
        val open = all.filter { perSecond == null || it.coldLimit.allows(nowMs, coldShare(it, perSecond)) }
            .filter { perInstance == null || it.hasConnection(perInstance) }
        val healthy = open.filterNot { it.health.isExcluded(nowMs) }.ifEmpty { open }
        val typicalMs = healthy.map {
            it.health.responseMs
        }.filter { it > 0 }.sorted().let { it.getOrNull(it.size / 2) }
        val candidates = healthy.map { PlacementCandidate(it.endpoint, it.outstanding, slowness(it, typicalMs)) }
        val request = PlacementRequest(affinity(context), inputZone, self.zone)
        return placement.choose(candidates, request)?.let { pools.of(it.endpoint) }
    }

    /** True when endpoints are registered that only have no place now. */
    fun mayComeFree(context: RequestContext, tried: Set<EndpointLife>): Boolean =
        snapshot().usable(context.service).any { it.life !in tried }

    private fun coldShare(pool: EndpointPool, perSecond: Double): Int {
        val live = instances()
        if (live !== known) {
            known = live
            shares = ColdShare(self.id, live)
        }
        return shares.of(pool.endpoint.id, perSecond)
    }

    /** Endpoints reset connections beyond their bound, which is for all instances together. */
    private fun connectionShare(maxConnections: Int): Int =
        maxOf(1, (maxConnections * CONNECTION_SHARE / maxOf(1, instances().size)).toInt())

    private fun slowness(pool: EndpointPool, typicalMs: Double?): Double {
        val known = pool.health.responseMs
        return if (typicalMs == null || known == 0.0) 1.0 else maxOf(1.0, known / typicalMs) + pool.health.failureShare
    }

    /** Requests that share all parts of the prompt but the last one profit from the same cache. */
    private fun affinity(context: RequestContext): String? {
        val parts = context.request.headers.get(wire.headers.promptParts)?.split(',') ?: return null
        return parts.getOrNull(parts.size - 2)?.substringBefore(':')
    }

    private companion object {
        /** Part of an endpoint's connections that is used; the rest covers closed ones that it still counts. */
        const val CONNECTION_SHARE = 0.9
    }
}
