package io.oriolehall.policy.limits

import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId
import io.oriolehall.policy.hashing.Rendezvous

/**
 * The members of a zone at one moment; see [ZoneMembers].
 *
 * @property ownerCandidates members that may own endpoints.
 * @property known members that may vote.
 * @property recent known members that joined so recently that other members may not have received their records yet.
 */
data class ZoneMemberView(
    val ownerCandidates: Set<InstanceId>,
    val known: Set<InstanceId>,
    val recent: Set<InstanceId>,
)

/**
 * Determines which endpoints an instance requests credits for, and from which owner. Normally it uses only its subset
 * of each pool of its zone, so that few holders share an endpoint. While calls are waiting in the pool, it spills over
 * to the rest of the pool, one subset at a time, and then to other zones.
 *
 * Immutable; recreated when members or endpoints change.
 *
 * @param subsetSize number of endpoints of a pool in an instance's subset.
 */
class CreditPlan(
    private val self: InstanceId,
    private val zone: ZoneId,
    val endpoints: List<Endpoint>,
    val memberView: ZoneMemberView,
    private val subsetSize: Int,
) {
    private class PlannedEndpoint(
        val endpoint: Endpoint,
        val owner: InstanceId?,
        val electorate: Electorate,
        /** Position of the endpoint in this instance's order of preference within the pool; 0 for the first. */
        val rank: Int,
    )

    private val poolSizes = endpoints.filter { it.zone == zone }.groupingBy { it.pool }.eachCount()
    private val plannedEndpoints: Map<EndpointId, PlannedEndpoint> =
        endpoints.filter { it.zone == zone }
            .groupBy { it.pool }.values
            .flatMap(::planPool)
            .associateBy { it.endpoint.id }

    /** The endpoint [id], or null if it is not in this zone. */
    fun endpoint(id: EndpointId): Endpoint? = plannedEndpoints[id]?.endpoint

    /** Endpoints of this zone that this instance owns. */
    fun owned(): List<Endpoint> = plannedEndpoints.values.filter { it.owner == self }.map(PlannedEndpoint::endpoint)

    /** The owner of the endpoint [id] of this zone. */
    fun owner(id: EndpointId): InstanceId? = plannedEndpoints[id]?.owner

    /** The electorate that votes on the owner of endpoint [id] of this zone. */
    fun electorate(id: EndpointId): Electorate = plannedEndpoints.getValue(id).electorate

    /** The role of this instance towards the owner of [endpoint]. */
    fun role(endpoint: Endpoint): HolderRole = when {
        endpoint.zone != zone -> HolderRole.GUEST
        plannedEndpoints[endpoint.id]?.electorate?.voters.orEmpty().contains(self) -> HolderRole.VOTER
        else -> HolderRole.BORROWER
    }

    /** True if [endpoint] is in this instance's subset, which it uses even if no calls are waiting. */
    fun isInSubset(endpoint: Endpoint): Boolean = (plannedEndpoints[endpoint.id]?.rank ?: Int.MAX_VALUE) < subsetSize

    /** How long calls must have waited at this instance before it requests credits for [endpoint], milliseconds. */
    fun spillDelayMs(endpoint: Endpoint): Long {
        val planned = plannedEndpoints[endpoint.id]
        val steps = if (planned != null) planned.rank / subsetSize else subsetCount(poolSizes[endpoint.pool] ?: 0)
        return steps * SPILL_STEP_MS
    }

    private fun subsetCount(endpoints: Int): Int = (endpoints + subsetSize - 1) / subsetSize

    private fun planPool(pool: List<Endpoint>): List<PlannedEndpoint> {
        val ranks = Rendezvous.rankedEndpoints(self, pool.map(Endpoint::id)).withIndex().associate {
            it.value to it.index
        }
        return pool.map {
            val electorate = Electorate.of(it.id, memberView.known, memberView.recent)
            PlannedEndpoint(it, Rendezvous.owner(it.id, memberView.ownerCandidates), electorate, ranks.getValue(it.id))
        }
    }

    companion object {
        /** Number of endpoints of each pool in an instance's subset. */
        const val SUBSET_SIZE = 4

        /** Additional waiting time before the next subset of a pool is used, milliseconds. */
        const val SPILL_STEP_MS = 250L
    }
}
