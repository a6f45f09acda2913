package io.oriolehall.gateway.fleet

import io.oriolehall.policy.membership.Member

/**
 * Selects the members that may be assigned work for the whole fleet or a zone: those with at least [MIN_CAPACITY_SHARE]
 * of the processor capacity of the largest one. Such work grows with the fleet and must not run at the pace of the
 * smallest machine. Where all machines are alike, every member is selected.
 */
internal object CapableMembers {
    /** The capable members among [candidates], in their order. */
    fun among(candidates: Collection<Member>): List<Member> {
        val largest = candidates.maxOfOrNull(Member::cores) ?: return emptyList()
        return candidates.filter { it.cores >= largest * MIN_CAPACITY_SHARE }
    }

    private const val MIN_CAPACITY_SHARE = 0.5
}
