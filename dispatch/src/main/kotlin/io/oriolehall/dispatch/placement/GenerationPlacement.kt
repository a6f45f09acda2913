package io.oriolehall.dispatch.placement

import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.model.ZoneId
import io.oriolehall.policy.hashing.Rendezvous

/**
 * An endpoint that may take a request.
 *
 * @property outstanding requests of this instance that it has not finished.
 * @property slowness its response time relative to its peers, 1 when unknown.
 */
data class PlacementCandidate(val endpoint: EndpointRecord, val outstanding: Int, val slowness: Double = 1.0)

/**
 * What is known of a request when its endpoint is chosen.
 *
 * @property affinity text that requests with the same cached prompt share; null when there is none.
 * @property inputZone zone where the results that the endpoint has to fetch lie; null when there are none.
 * @property ownZone zone of the choosing instance.
 */
data class PlacementRequest(val affinity: String?, val inputZone: ZoneId?, val ownZone: ZoneId)

/** Chooses the endpoint for a request. */
fun interface Placement {
    /** One of [candidates], or null when it is empty. */
    fun choose(candidates: List<PlacementCandidate>, request: PlacementRequest): PlacementCandidate?
}

/** Baseline: the endpoint with the fewest outstanding requests of this instance, own zone first at equal counts. */
object LeastOutstanding : Placement {
    override fun choose(candidates: List<PlacementCandidate>, request: PlacementRequest): PlacementCandidate? =
        candidates.minWithOrNull(
            compareBy({ it.outstanding * it.slowness }, { it.endpoint.zone != request.ownZone }, { it.endpoint.id }),
        )
}

/**
 * Keeps requests that share a prompt together: rendezvous hashing with bounded loads, which all instances compute alike
 * without a message. An endpoint above the bound is passed over, so that a hot prompt spreads. Reading a shared prompt
 * again costs more than fetching inputs from another zone; the zone of the inputs decides only without a shared prompt.
 */
class AffinityPlacement(private val loadFactor: Double = DEFAULT_LOAD_FACTOR) : Placement {
    override fun choose(candidates: List<PlacementCandidate>, request: PlacementRequest): PlacementCandidate? {
        val healthy = candidates.filter { it.slowness <= SLOW_FACTOR }.ifEmpty { candidates }
        val affinity = request.affinity ?: return LeastOutstanding.choose(near(healthy, request), request)
        val mean = healthy.sumOf(PlacementCandidate::outstanding).toDouble() / maxOf(1, healthy.size)
        val bound = mean * loadFactor + HEADROOM
        return healthy.filter { it.outstanding < bound }.ifEmpty { healthy }
            .maxByOrNull { Rendezvous.weight(affinity, it.endpoint.id.value) }
    }

    private fun near(candidates: List<PlacementCandidate>, request: PlacementRequest): List<PlacementCandidate> {
        val zone = request.inputZone ?: request.ownZone
        return candidates.filter { it.endpoint.zone == zone }.ifEmpty { candidates }
    }

    private companion object {
        const val DEFAULT_LOAD_FACTOR = 2.0

        /** Requests above the bound that any endpoint may have, so that a quiet instance keeps its affinity. */
        const val HEADROOM = 4

        /** An endpoint this many times slower than its peers is left out while others are there. */
        const val SLOW_FACTOR = 2.0
    }
}
