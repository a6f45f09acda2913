package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import io.oriolehall.policy.hashing.Rendezvous

/**
 * The members of a zone that vote on the owner of one endpoint: the first few by rendezvous hashing, so that the other
 * members need not be heard. Each voter follows one owner at a time, and an owner's budget is the share of the voters
 * that follow it.
 *
 * Members that are new may not be known to all yet. While there are any, a share counts only as far as it holds both
 * with them and without them, so that owners which know different members still have one set of voters in common.
 */
class Electorate private constructor(private val sets: Set<Set<InstanceId>>) {
    /** All who vote. */
    val voters: Set<InstanceId> = sets.flatten().toSet()

    /** True when all voters are among [followers]. */
    fun isCoveredBy(followers: Set<InstanceId>): Boolean = followers.containsAll(voters)

    /** The part of [limit] that belongs to an owner with these [followers], rounded down. */
    fun share(limit: Int, followers: Set<InstanceId>): Int =
        sets.minOf { set -> limit * set.count(followers::contains) / set.size }

    companion object {
        /** Voters of an endpoint. */
        const val SIZE = 5

        /** The voters for [endpoint] among the [known] members of its zone, some of which are [recent]. */
        fun of(endpoint: EndpointId, known: Set<InstanceId>, recent: Set<InstanceId> = emptySet()): Electorate {
            val sets = setOf(known, known - recent).filter { it.isNotEmpty() }
            return Electorate(sets.map { Rendezvous.ranked(endpoint.value, it).take(SIZE).toSet() }.toSet())
        }
    }
}
