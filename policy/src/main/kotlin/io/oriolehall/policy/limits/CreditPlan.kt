package io.oriolehall.policy.limits

import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId
import io.oriolehall.policy.hashing.Rendezvous

/** The members of a zone at one moment: see [ZoneMembers]. */
data class ZoneRoll(val owners: Set<InstanceId>, val known: Set<InstanceId>, val recent: Set<InstanceId>)

/**
 * Whom one instance asks for credits and for which endpoints. In peace it sends to its subset of each pool of its
 * zone, so that few holders share an endpoint; while calls wait there, it goes on to more of the pool, a subset at a
 * time, and then to other zones.
 *
 * Immutable; worked out again when members or endpoints change.
 *
 * @param subset endpoints of a pool in an instance's subset.
 */
class CreditPlan(
    private val self: InstanceId,
    private val zone: ZoneId,
    val endpoints: List<Endpoint>,
    val roll: ZoneRoll,
    private val subset: Int,
) {
    private class Entry(val endpoint: Endpoint, val owner: InstanceId?, val electorate: Electorate, val rank: Int)

    private val poolSizes = endpoints.filter { it.zone == zone }.groupingBy { it.pool }.eachCount()
    private val entries: Map<EndpointId, Entry> =
        endpoints.filter {
            it.zone == zone
        }.groupBy { it.pool }.values.flatMap(::entriesOf).associateBy { it.endpoint.id }

    /** The endpoint [id] of this zone, or null when it is not one. */
    fun endpoint(id: EndpointId): Endpoint? = entries[id]?.endpoint

    /** Endpoints of this zone that this instance owns. */
    fun owned(): List<Endpoint> = entries.values.filter { it.owner == self }.map(Entry::endpoint)

    /** The owner of the endpoint [id] of this zone. */
    fun owner(id: EndpointId): InstanceId? = entries[id]?.owner

    /** The voters on the endpoint [id] of this zone. */
    fun electorate(id: EndpointId): Electorate = entries.getValue(id).electorate

    /** The part of this instance in the ownership of [endpoint]. */
    fun role(endpoint: Endpoint): HolderRole = when {
        endpoint.zone != zone -> HolderRole.GUEST
        entries[endpoint.id]?.electorate?.voters.orEmpty().contains(self) -> HolderRole.VOTER
        else -> HolderRole.BORROWER
    }

    /** True when this instance sends to [endpoint] in peace. */
    fun isInSubset(endpoint: Endpoint): Boolean = (entries[endpoint.id]?.rank ?: Int.MAX_VALUE) < subset

    /** How long calls wait at this instance before it asks for credits at [endpoint], milliseconds. */
    fun waitMs(endpoint: Endpoint): Long {
        val entry = entries[endpoint.id]
        val steps = if (entry != null) entry.rank / subset else stepsOf(poolSizes[endpoint.pool] ?: 0)
        return steps * STEP_MS
    }

    private fun stepsOf(endpoints: Int): Int = (endpoints + subset - 1) / subset

    private fun entriesOf(pool: List<Endpoint>): List<Entry> {
        val ranks = Rendezvous.preferred(self, pool.map(Endpoint::id)).withIndex().associate { it.value to it.index }
        return pool.map {
            val electorate = Electorate.of(it.id, roll.known, roll.recent)
            Entry(it, Rendezvous.owner(it.id, roll.owners), electorate, ranks.getValue(it.id))
        }
    }

    companion object {
        /** Endpoints of each pool in an instance's subset. */
        const val SUBSET = 4

        /** Wait before the next subset of a pool is used, milliseconds. */
        const val STEP_MS = 250L
    }
}
