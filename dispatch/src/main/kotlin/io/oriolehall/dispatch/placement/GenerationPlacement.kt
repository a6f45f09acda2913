package io.oriolehall.dispatch.placement

import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.model.ZoneId
import io.oriolehall.policy.hashing.Rendezvous

/**
 * An endpoint that may receive a request.
 *
 * @property outstanding unfinished requests of this instance at the endpoint.
 * @property slowness its response time relative to that of its peers, plus its share of failures; 1 when unknown.
 * @property hash hash of the endpoint's id for rendezvous hashing.
 */
data class PlacementCandidate(
    val endpoint: EndpointRecord,
    val outstanding: Int,
    val slowness: Double = 1.0,
    val hash: Long = Rendezvous.hash(endpoint.id.value),
)

/**
 * Properties of a request that influence the choice of its endpoint.
 *
 * @property affinity text that is the same for requests with the same cached prompt; null when there is none.
 * @property inputZone zone that stores the stage results which the endpoint has to fetch; null when there are none.
 * @property ownZone zone of the instance that chooses.
 */
data class PlacementRequest(val affinity: String?, val inputZone: ZoneId?, val ownZone: ZoneId)

/** Chooses the endpoint for a request. */
fun interface Placement {
    /** One of [candidates], or null when it is empty. */
    fun choose(candidates: List<PlacementCandidate>, request: PlacementRequest): PlacementCandidate?
}

/**
 * Chooses the endpoint with the fewest outstanding requests of this instance, weighted by slowness; ties go to the
 * instance's own zone.
 */
object LeastOutstanding : Placement {
    override fun choose(candidates: List<PlacementCandidate>, request: PlacementRequest): PlacementCandidate? =
        candidates.minWithOrNull(
            compareBy({ it.outstanding * it.slowness }, { it.endpoint.zone != request.ownZone }, { it.endpoint.id }),
        )
}

/**
 * Sends requests that share a prompt to the same endpoint by rendezvous hashing, which ranks the endpoints equally at
 * all instances without coordination. Endpoints above a bound on the outstanding requests of this instance are skipped,
 * so that a hot prompt spreads to more endpoints. Recomputing a shared prompt costs more than fetching inputs from
 * another zone, so the zone of the inputs matters only for requests without a shared prompt.
 *
 * @param loadFactor load bound relative to the mean number of outstanding requests per endpoint.
 */
class AffinityPlacement(private val loadFactor: Double = DEFAULT_LOAD_FACTOR) : Placement {
    override fun choose(candidates: List<PlacementCandidate>, request: PlacementRequest): PlacementCandidate? {
        val healthy = candidates.filter { it.slowness <= MAX_SLOWNESS }.ifEmpty { candidates }
        val affinity = request.affinity ?: return LeastOutstanding.choose(preferZone(healthy, request), request)
        val meanOutstanding = healthy.sumOf(PlacementCandidate::outstanding).toDouble() / maxOf(1, healthy.size)
        val loadBound = meanOutstanding * loadFactor + LOAD_HEADROOM
        val affinityHash = Rendezvous.hash(affinity)
        return healthy.filter { it.outstanding < loadBound }.ifEmpty { healthy }
            .maxByOrNull { Rendezvous.weight(affinityHash, it.hash) }
    }

    private fun preferZone(candidates: List<PlacementCandidate>, request: PlacementRequest): List<PlacementCandidate> {
        val zone = request.inputZone ?: request.ownZone
        return candidates.filter { it.endpoint.zone == zone }.ifEmpty { candidates }
    }

    private companion object {
        const val DEFAULT_LOAD_FACTOR = 2.0

        /** Requests that any endpoint may have beyond the relative bound, so that affinity holds under low load. */
        const val LOAD_HEADROOM = 4

        /** An endpoint more than this many times slower than its peers is used only when no faster one is available. */
        const val MAX_SLOWNESS = 2.0
    }
}
