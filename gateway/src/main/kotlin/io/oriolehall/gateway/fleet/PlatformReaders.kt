package io.oriolehall.gateway.fleet

import io.oriolehall.policy.hashing.Rendezvous
import io.oriolehall.policy.membership.Member
import io.oriolehall.policy.membership.MembershipView

/**
 * Selects the instances of a zone that read the platform; the others follow one of them. Instances with the same member
 * view make the same choice without communicating. If views differ, the platform is read more often than necessary, or
 * an instance follows one that no longer reads the platform, which its answers show.
 *
 * This limits the load on the platform, which counts every call and whose permitted rates grow more slowly than the
 * fleet.
 */
internal object PlatformReaders {
    /** Returns the reader that the instance with [view] follows, or null if that instance reads the platform itself. */
    fun readerFor(view: MembershipView): Member? {
        val members = view.members.values.filter { it.zone == view.zone && it.canOwn }.associateBy(Member::id)
        val capable = CapableMembers.among(members.values).mapTo(HashSet(), Member::id)
        val ranked = Rendezvous.rankedInstances("reader of ${view.zone}", members.keys).sortedBy { it !in capable }
        val readers = ranked.take(readerCount(ranked.size))
        if (view.self in readers) return null
        return Rendezvous.rankedInstances("follower ${view.self}", readers).firstOrNull()?.let(members::get)
    }

    /** One for each [INSTANCES_PER_READER]: a follower whose reader fails reads the platform itself meanwhile. */
    private fun readerCount(zoneSize: Int): Int = (zoneSize + INSTANCES_PER_READER - 1) / INSTANCES_PER_READER

    /** Serving this many followers takes little of a reader's processor time and bandwidth. */
    private const val INSTANCES_PER_READER = 12
}
