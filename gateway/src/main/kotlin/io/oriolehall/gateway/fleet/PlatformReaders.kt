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
        val readers = ranked.take(maxOf(MIN_READERS, ranked.size / INSTANCES_PER_READER))
        if (view.self in readers) return null
        return Rendezvous.rankedInstances("follower ${view.self}", readers).firstOrNull()?.let(members::get)
    }

    /**
     * In a zone of up to this size, every instance reads the platform. With three readers, one remains when another has
     * stopped and a further one is cut off from the platform.
     */
    private const val MIN_READERS = 3

    /** Serving this many followers takes little of a reader's processor time and bandwidth. */
    private const val INSTANCES_PER_READER = 12
}
