package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId

/**
 * The owner's book for one endpoint: who holds how many credits, and what may still be running from grants that ran
 * out. What it has promised never exceeds its budget; a budget that shrinks is reached again once leases and calls
 * have ended.
 *
 * The budget is the whole limit while every voter follows this owner and none of them is so young that calls of its
 * predecessor under the same name may still run. Otherwise it is the share of the voters that have followed for
 * [CreditTiming.settleMs]. An instance follows one owner at a time, so the budgets of owners that disagree about the
 * members add up to the limit at most.
 *
 * Not safe for use by several threads.
 */
class CreditLedger(
    private val endpoint: EndpointId,
    private val self: Incarnation,
    private val timing: CreditTiming,
) {
    private val holders = mutableMapOf<InstanceId, HolderAccount>()
    private val sequences = mutableMapOf<HolderId, SeenSequence>()
    private val residues = mutableListOf<Residue>()
    private var serial = 0L

    /**
     * Ends the wait for young voters: the endpoint has reported that it runs nothing. The report may be as old as
     * [reportLagMs] milliseconds, and a grant of a process before the voter's may be in use for a lease after that.
     */
    fun confirmIdle(reportLagMs: Long, nowMs: Long) {
        holders.values
            .filter { nowMs - it.sinceMs >= reportLagMs && nowMs - it.bornAtMs >= reportLagMs + timing.leaseMs }
            .forEach { it.trustedFromMs = minOf(it.trustedFromMs, nowMs) }
    }

    /** Takes a [request] of [holder] in and answers it; [limit] is the endpoint's limit now. */
    fun answer(
        holder: HolderId,
        request: CreditRequest,
        electorate: Electorate,
        limit: Int,
        nowMs: Long,
    ): CreditAnswer {
        expire(nowMs)
        val stamp = CreditStamp(self, nowMs, ++serial)
        if (!isNewest(holder, request, nowMs) || !isFresh(request.echo, nowMs)) return CreditAnswer(endpoint, stamp)
        val account = openAccount(holder, request, nowMs)
        if (request.release) {
            close(holder.instance, account, request.inFlight, nowMs)
            return CreditAnswer(endpoint, stamp, released = true)
        }
        val budget = budget(electorate, limit, nowMs)
        val credits = grant(holder.instance, budget, nowMs)
        account.grants += Grant(stamp.serial, credits)
        val contended = request.wanted > 0 && demands().sumOf(CreditDemand::wanted) > budget
        val renewMs = if (contended) timing.contendedMs else timing.renewMs
        return CreditAnswer(endpoint, stamp, credits, timing.leaseMs, renewMs)
    }

    /**
     * Calls that may run on grants of this owner, but for its own instance's: a former owner reports them, as their
     * holders may not have reached the new owner yet.
     */
    fun unreportedElsewhere(nowMs: Long): Int {
        expire(nowMs)
        val others = holders.values.filter { it.incarnation != self }.sumOf(HolderAccount::committed)
        return others + residues.filterNot(Residue::own).sumOf(Residue::calls)
    }

    /** Credits promised and calls that may still run, all holders together. */
    fun committed(nowMs: Long): Int {
        expire(nowMs)
        return holders.values.sumOf(HolderAccount::committed) + residues.sumOf(Residue::calls)
    }

    /** Voters that follow this owner now. */
    fun followers(nowMs: Long): Set<InstanceId> {
        expire(nowMs)
        return voters().keys
    }

    private fun voters() = holders.filterValues { it.role == HolderRole.VOTER }

    private fun isNewest(holder: HolderId, request: CreditRequest, nowMs: Long): Boolean {
        val seen = sequences[holder]
        if (seen != null && request.sequence <= seen.sequence) return false
        sequences[holder] = SeenSequence(request.sequence, nowMs)
        return true
    }

    private fun isFresh(echo: CreditStamp?, nowMs: Long): Boolean =
        echo != null && echo.owner == self && nowMs - echo.atMs <= timing.echoMs

    private fun openAccount(holder: HolderId, request: CreditRequest, nowMs: Long): HolderAccount {
        val old = holders[holder.instance]
        if (old != null && old.incarnation != holder.incarnation) {
            close(holder.instance, old, old.committed, nowMs)
        }
        val account = holders.getOrPut(holder.instance) {
            val bornAtMs = nowMs - request.ageMs
            HolderAccount(holder.incarnation, nowMs, bornAtMs, trustedFromMs = bornAtMs + timing.settleMs)
        }
        account.role = request.role
        account.acceptedAtMs = nowMs
        account.inFlight = request.inFlight
        account.wanted = request.wanted
        account.grants.removeAll { it.serial < (request.echo?.serial ?: 0) }
        return account
    }

    private fun close(holder: InstanceId, account: HolderAccount, calls: Int, nowMs: Long) {
        holders.remove(holder)
        val untilMs = nowMs + timing.drainMs + timing.marginMs
        if (calls > 0) residues += Residue(calls, untilMs, own = account.incarnation == self)
    }

    private fun grant(holder: InstanceId, budget: Int, nowMs: Long): Int {
        val target = CreditSplit.targets(budget, demands(), rotation = nowMs / ROTATION_MS)[holder] ?: 0
        val others = holders.filterKeys { it != holder }.values.sumOf(HolderAccount::committed)
        val free = budget - others - residues.sumOf(Residue::calls)
        return minOf(target, free).coerceAtLeast(0)
    }

    private fun demands() = holders.map { (holder, account) ->
        CreditDemand(holder, account.role, maxOf(account.wanted, account.inFlight))
    }

    private fun budget(electorate: Electorate, limit: Int, nowMs: Long): Int {
        val voters = voters()
        if (electorate.isCoveredBy(voters.keys) && voters.values.all { it.trustedFromMs <= nowMs }) return limit
        return electorate.share(limit, voters.filterValues { nowMs - it.sinceMs >= timing.settleMs }.keys)
    }

    private fun expire(nowMs: Long) {
        val lapsed = holders.filterValues { nowMs - it.acceptedAtMs > timing.leaseMs }
        for ((holder, account) in lapsed) {
            close(holder, account, account.committed, account.acceptedAtMs + timing.leaseMs)
        }
        residues.removeAll { it.untilMs < nowMs }
        sequences.values.removeAll { nowMs - it.seenAtMs > SEQUENCE_MEMORY_FACTOR * timing.settleMs }
    }

    private class HolderAccount(
        val incarnation: Incarnation,
        val sinceMs: Long,
        val bornAtMs: Long,
        var trustedFromMs: Long,
    ) {
        var role = HolderRole.BORROWER
        val grants = mutableListOf<Grant>()
        var acceptedAtMs = sinceMs
        var inFlight = 0
        var wanted = 0

        /** The holder may act on any grant since the one whose stamp it returned. */
        val committed: Int get() = maxOf(inFlight, grants.maxOfOrNull(Grant::credits) ?: 0)
    }

    private class Grant(val serial: Long, val credits: Int)

    private class Residue(val calls: Int, val untilMs: Long, val own: Boolean)

    private class SeenSequence(val sequence: Long, val seenAtMs: Long)

    private companion object {
        /** How long one holder goes first when there are fewer credits than holders. */
        const val ROTATION_MS = 2_000L
        const val SEQUENCE_MEMORY_FACTOR = 4
    }
}
