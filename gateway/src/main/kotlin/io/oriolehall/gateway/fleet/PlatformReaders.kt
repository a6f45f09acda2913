package io.oriolehall.gateway.fleet

import io.oriolehall.policy.hashing.Rendezvous
import io.oriolehall.policy.membership.Member
import io.oriolehall.policy.membership.MembershipView

/**
 * Which instances of a zone read the platform; the others follow one of them. All that see the same members choose
 * alike, without a message. Instances that disagree read too often or follow one that reads no more, which says so.
 *
 * The load that it answers: the platform counts each call, and its rates grow more slowly than the fleet.
 */
internal object PlatformReaders {
    /** The reader that the instance [view] belongs to follows; null when it reads the platform itself. */
    fun followedBy(view: MembershipView): Member? {
        val members = view.members.values.filter { it.zone == view.zone && it.ownable }.associateBy(Member::id)
        val ranked = Rendezvous.ranked("reader of ${view.zone}", members.keys)
        val readers = ranked.take(maxOf(LEAST_READERS, ranked.size / INSTANCES_PER_READER))
        if (view.self in readers) return null
        return Rendezvous.ranked("follower ${view.self}", readers).firstOrNull()?.let(members::get)
    }

    /** A zone with this many instances or fewer has readers only: one may be gone and one cut off. */
    private const val LEAST_READERS = 3

    /** A reader bears this many followers with little of its processor time and link. */
    private const val INSTANCES_PER_READER = 12
}
