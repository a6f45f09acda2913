package io.oriolehall.gateway.fleet

import io.oriolehall.model.InstanceId
import io.oriolehall.policy.hashing.Rendezvous
import io.oriolehall.policy.membership.Member
import io.oriolehall.policy.membership.MembershipView
import java.util.concurrent.ConcurrentHashMap

/** The owners of subjects among the members of one view, each ranked once. Safe for use by several threads. */
internal class Owners(view: MembershipView) {
    private val members = ownable(view)
    private val known = ConcurrentHashMap<String, InstanceId>()

    /** The owner of [subject], or null when there are no members. */
    fun of(subject: String): Member? {
        if (members.isEmpty()) return null
        return members[known.computeIfAbsent(subject) { Rendezvous.ranked(it, members.keys).first() }]
    }

    /** True when [view] has the same members, so that all owners are the same. */
    fun isOf(view: MembershipView): Boolean = ownable(view).mapValues { it.value.address } ==
        members.mapValues { it.value.address }

    private fun ownable(view: MembershipView): Map<InstanceId, Member> =
        view.members.values.filter { it.ownable }.associateBy(Member::id)
}
