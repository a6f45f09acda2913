package io.oriolehall.gateway.fleet

import io.oriolehall.model.InstanceId
import io.oriolehall.policy.hashing.Rendezvous
import io.oriolehall.policy.membership.Member
import io.oriolehall.policy.membership.MembershipView
import java.util.concurrent.ConcurrentHashMap

/** Assigns subjects to owners among the members of one view, and caches each assignment. Thread-safe. */
internal class Owners(view: MembershipView) {
    private val members = ownerCandidates(view)
    private val ownZone = view.zone
    private val ranksBySubject = ConcurrentHashMap<String, List<Member>>()

    /** Returns the owner of [subject], or null if there are no members. */
    fun of(subject: String): Member? = ranked(subject).firstOrNull()

    /**
     * Returns the owner of [subject] and, as its deputy, the highest-ranked member of this instance's zone. When the
     * zone is cut off, its instances agree on the deputy.
     */
    fun withDeputy(subject: String): List<Member> {
        val ranked = ranked(subject)
        return listOfNotNull(ranked.firstOrNull(), ranked.firstOrNull { it.zone == ownZone }).distinctBy(Member::id)
    }

    private fun ranked(subject: String): List<Member> = ranksBySubject.computeIfAbsent(subject) {
        Rendezvous.rankedInstances(it, members.keys).map(members::getValue)
    }

    /** True if [view] has the same ownable members at the same addresses, so that no owner changes. */
    fun hasSameMembersAs(view: MembershipView): Boolean = ownerCandidates(view).mapValues { it.value.address } ==
        members.mapValues { it.value.address }

    private fun ownerCandidates(view: MembershipView): Map<InstanceId, Member> =
        CapableMembers.among(view.members.values.filter { it.canOwn }).associateBy(Member::id)
}
