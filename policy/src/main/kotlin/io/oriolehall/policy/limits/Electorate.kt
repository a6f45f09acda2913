package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import io.oriolehall.policy.hashing.Rendezvous

/**
 * The members of a zone that vote on the owner of one endpoint. They are the first [MAX_VOTERS] by rendezvous hashing,
 * so that an owner needs no messages from the other members. Each voter follows one owner at a time, and an owner's
 * budget is the share of the voters that follow it.
 *
 * Some members may not have received the records of the newest members yet. While there are recent members, an owner's
 * share is the smaller of the shares computed with and without them, so that owners with different member lists still
 * have one set of voters in common.
 */
class Electorate private constructor(private val voterSets: Set<Set<InstanceId>>) {
    /** All voters: the union of those chosen with and without the recent members. */
    val voters: Set<InstanceId> = voterSets.flatten().toSet()

    /** True if all voters are among [followers]. */
    fun isCoveredBy(followers: Set<InstanceId>): Boolean = followers.containsAll(voters)

    /** The share of [limit] of an owner with these [followers], rounded down. */
    fun share(limit: Int, followers: Set<InstanceId>): Int =
        voterSets.minOf { set -> limit * set.count(followers::contains) / set.size }

    companion object {
        /** Maximum number of voters of an endpoint, for one member list. */
        const val MAX_VOTERS = 5

        /** The voters for [endpoint] among the [known] members of its zone, some of which are [recent]. */
        fun of(endpoint: EndpointId, known: Set<InstanceId>, recent: Set<InstanceId> = emptySet()): Electorate {
            val voterSets = setOf(known, known - recent).filter { it.isNotEmpty() }
            return Electorate(
                voterSets.map {
                    Rendezvous.rankedInstances(endpoint.value, it).take(MAX_VOTERS).toSet()
                }.toSet(),
            )
        }
    }
}
