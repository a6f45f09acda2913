package io.oriolehall.entry.membership

import io.oriolehall.model.InstanceId
import io.oriolehall.policy.membership.Member
import io.oriolehall.policy.membership.MemberState
import io.oriolehall.policy.membership.MembershipView
import java.util.concurrent.ConcurrentHashMap

/** What other instances last said of their configuration. Safe for use by several threads. */
internal class PeerReports {
    private data class Report(val gossip: Gossip, val atMs: Long)

    private val reports = ConcurrentHashMap<InstanceId, Report>()

    fun note(gossip: Gossip, nowMs: Long) {
        reports[gossip.sender.id] = Report(gossip, nowMs)
    }

    /** All members of [view] but this instance, whose configuration has the digest [ownDigest]. */
    fun describe(view: MembershipView, ownDigest: Long, nowMs: Long): List<PeerStatus> = view.members.values
        .filter { it.id != view.self }
        .sortedBy(Member::id)
        .map { describe(it, ownDigest, nowMs) }

    private fun describe(member: Member, ownDigest: Long, nowMs: Long): PeerStatus {
        val report = reports[member.id]
        val same = report?.let { it.gossip.configDigest == ownDigest }
        return PeerStatus(
            id = member.id,
            zone = member.zone,
            state = member.state,
            incarnation = member.incarnation,
            highestTicket = report?.gossip?.highestTicket,
            sameConfiguration = same,
            heardMs = report?.let { nowMs - it.atMs },
            skewMs = member.skewMs,
            lag = lag(member, report, same),
        )
    }

    private fun lag(member: Member, report: Report?, same: Boolean?): String? = when {
        !member.reachable -> "not reachable from here: ${member.state.name.lowercase()}"
        member.state == MemberState.SUSPECT -> "does not answer just now"
        report == null -> "has not spoken to this instance; ask one of its zone"
        same == true -> null
        !report.gossip.platformReachable -> "cannot read the configuration service; takes tickets from other instances"
        else -> "differed when it last spoke; the difference is being exchanged"
    }
}
