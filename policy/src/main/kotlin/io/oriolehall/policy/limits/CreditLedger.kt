package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId

/**
 * The owner's book for one endpoint: who holds how many credits, and what may still be running from grants that ran
 * out. What it has promised never exceeds its budget; a budget that shrinks is reached again once leases and calls
 * have ended.
 *
 * The budget is the whole limit while every known member of the zone follows this owner and none of them is so young
 * that calls of its predecessor under the same name may still run. Otherwise it is the limit's
 * share of the followers that have followed for [CreditTiming.settleMs]. An instance follows one owner at a time, so
 * the budgets of owners that disagree about the members add up to the limit at most.
 *
 * Not safe for use by several threads.
 */
class CreditLedger(
    private val endpoint: EndpointId,
    private val self: Incarnation,
    private val timing: CreditTiming,
) {
    private val holders = mutableMapOf<InstanceId, HolderAccount>()
    private val sequences = mutableMapOf<Pair<InstanceId, Incarnation>, SeenSequence>()
    private val residues = mutableListOf<Residue>()
    private var serial = 0L

    /**
     * Ends the wait for young members: the endpoint has reported that it runs nothing. Only members that have been here
     * for [reportLagMs] milliseconds are concerned, as the report may be as old as that.
     */
    fun confirmIdle(reportLagMs: Long, nowMs: Long) {
        holders.values
            .filter { nowMs - it.sinceMs >= reportLagMs }
            .forEach { it.trustedFromMs = minOf(it.trustedFromMs, nowMs) }
    }

    /** Takes [request] in and answers it. [known] names the zone's members; [limit] is the endpoint's limit now. */
    fun answer(request: CreditRequest, known: Set<InstanceId>, limit: Int, nowMs: Long): CreditAnswer {
        expire(nowMs)
        val stamp = CreditStamp(self, nowMs, ++serial)
        if (!isNewest(request, nowMs) || !isFresh(request.echo, nowMs)) return CreditAnswer(endpoint, stamp)
        val account = openAccount(request, nowMs)
        if (request.release) {
            close(request.holder, account, request.inFlight, nowMs)
            return CreditAnswer(endpoint, stamp, released = true)
        }
        val credits = grant(request, known, limit, nowMs)
        account.grants += Grant(stamp.serial, credits)
        return CreditAnswer(endpoint, stamp, credits, timing.leaseMs)
    }

    /** Calls that may run on behalf of holders which tell no other owner of them: a former owner reports them. */
    fun unreportedElsewhere(nowMs: Long): Int {
        expire(nowMs)
        val guests = holders.values.filter { it.role == HolderRole.GUEST }.sumOf(HolderAccount::committed)
        return guests + residues.filterNot(Residue::carriedOver).sumOf(Residue::calls)
    }

    /** Credits promised and calls that may still run, all holders together. */
    fun committed(nowMs: Long): Int {
        expire(nowMs)
        return holders.values.sumOf(HolderAccount::committed) + residues.sumOf(Residue::calls)
    }

    /** Instances that follow this owner now. */
    fun followers(nowMs: Long): Set<InstanceId> {
        expire(nowMs)
        return members().keys
    }

    private fun members() = holders.filterValues { it.role == HolderRole.MEMBER }

    private fun isNewest(request: CreditRequest, nowMs: Long): Boolean {
        val key = request.holder to request.incarnation
        val seen = sequences[key]
        if (seen != null && request.sequence <= seen.sequence) return false
        sequences[key] = SeenSequence(request.sequence, nowMs)
        return true
    }

    private fun isFresh(echo: CreditStamp?, nowMs: Long): Boolean =
        echo != null && echo.owner == self && nowMs - echo.atMs <= timing.echoMs

    private fun openAccount(request: CreditRequest, nowMs: Long): HolderAccount {
        val old = holders[request.holder]
        if (old != null && old.incarnation != request.incarnation) {
            close(request.holder, old, old.committed, nowMs, carriedOver = false)
        }
        val account = holders.getOrPut(request.holder) {
            HolderAccount(request.role, request.incarnation, nowMs, nowMs + timing.settleMs - request.ageMs)
        }
        account.acceptedAtMs = nowMs
        account.inFlight = request.inFlight
        account.wanted = request.wanted
        account.grants.removeAll { it.serial < (request.echo?.serial ?: 0) }
        return account
    }

    private fun close(
        holder: InstanceId,
        account: HolderAccount,
        calls: Int,
        nowMs: Long,
        carriedOver: Boolean = account.role == HolderRole.MEMBER,
    ) {
        holders.remove(holder)
        if (calls > 0) residues += Residue(calls, nowMs + timing.drainMs + timing.marginMs, carriedOver)
    }

    private fun grant(request: CreditRequest, known: Set<InstanceId>, limit: Int, nowMs: Long): Int {
        val budget = budget(known, limit, nowMs)
        val target = CreditSplit.targets(budget, demands(), rotation = nowMs / ROTATION_MS)[request.holder] ?: 0
        val others = holders.filterKeys { it != request.holder }.values.sumOf(HolderAccount::committed)
        val free = budget - others - residues.sumOf(Residue::calls)
        return minOf(target, free).coerceAtLeast(0)
    }

    private fun demands() = holders.map { (holder, account) ->
        CreditDemand(holder, account.role, maxOf(account.wanted, account.inFlight))
    }

    private fun budget(known: Set<InstanceId>, limit: Int, nowMs: Long): Int {
        val members = members()
        val unanimous = members.keys.containsAll(known) && members.values.all { it.trustedFromMs <= nowMs }
        if (unanimous) return limit
        val settled = members.values.count { nowMs - it.sinceMs >= timing.settleMs }
        return limit * settled / (known + members.keys).size
    }

    private fun expire(nowMs: Long) {
        val lapsed = holders.filterValues { nowMs - it.acceptedAtMs > timing.leaseMs }
        for ((holder, account) in lapsed) {
            close(holder, account, account.committed, account.acceptedAtMs + timing.leaseMs, carriedOver = false)
        }
        residues.removeAll { it.untilMs < nowMs }
        sequences.values.removeAll { nowMs - it.seenAtMs > SEQUENCE_MEMORY_FACTOR * timing.settleMs }
    }

    private class HolderAccount(
        val role: HolderRole,
        val incarnation: Incarnation,
        val sinceMs: Long,
        var trustedFromMs: Long,
    ) {
        val grants = mutableListOf<Grant>()
        var acceptedAtMs = sinceMs
        var inFlight = 0
        var wanted = 0

        /** The holder may act on any grant since the one whose stamp it returned. */
        val committed: Int get() = maxOf(inFlight, grants.maxOfOrNull(Grant::credits) ?: 0)
    }

    private class Grant(val serial: Long, val credits: Int)

    private class Residue(val calls: Int, val untilMs: Long, val carriedOver: Boolean)

    private class SeenSequence(val sequence: Long, val seenAtMs: Long)

    private companion object {
        /** How long one holder goes first when there are fewer credits than holders. */
        const val ROTATION_MS = 2_000L
        const val SEQUENCE_MEMORY_FACTOR = 4
    }
}
