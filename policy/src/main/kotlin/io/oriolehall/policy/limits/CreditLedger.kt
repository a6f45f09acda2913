package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId

/**
 * The owner's record of one endpoint's credits: how many each holder has, and how many calls may still run on grants
 * that have expired. New grants never raise the committed total above the budget. After the budget has shrunk, the
 * committed total falls to it as leases expire and calls end.
 *
 * The budget is the whole limit while every voter follows this owner and none of them started so recently that calls
 * of the previous process with the same instance ID may still run. Otherwise it is the share of the voters that have
 * followed this owner for [CreditTiming.settleMs]. An instance follows one owner at a time, so the budgets of owners
 * with different member lists add up to at most the limit.
 *
 * Not thread-safe.
 */
class CreditLedger(
    private val endpoint: EndpointId,
    private val self: Incarnation,
    private val timing: CreditTiming,
) {
    private val holders = mutableMapOf<InstanceId, HolderAccount>()
    private val sequences = mutableMapOf<HolderId, ReceivedSequence>()
    private val drainingCalls = mutableListOf<DrainingCalls>()
    private var serial = 0L

    /**
     * Ends the waiting time for recently started voters because the endpoint has reported that it is idle. The report
     * may be up to [reportLagMs] milliseconds old, and calls may be started on a grant of the voter's previous process
     * for up to one lease after the voter's process has started. Voters that are too recent for this are not affected.
     */
    fun confirmIdle(reportLagMs: Long, nowMs: Long) {
        holders.values
            .filter {
                nowMs - it.followingSinceMs >= reportLagMs &&
                    nowMs - it.processStartedAtMs >= reportLagMs + timing.leaseMs
            }
            .forEach { it.settledFromMs = minOf(it.settledFromMs, nowMs) }
    }

    /** Processes a [request] of [holder] and answers it; [limit] is the endpoint's current limit. */
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
        val account = openOrUpdateAccount(holder, request, nowMs)
        if (request.release) {
            closeAccount(holder.instance, account, request.inFlight, nowMs)
            return CreditAnswer(endpoint, stamp, released = true)
        }
        val budget = budget(electorate, limit, nowMs)
        val credits = grant(holder.instance, budget, nowMs)
        account.grants += Grant(stamp.serial, credits)
        val contended = request.wanted > 0 && demands().sumOf(CreditDemand::wanted) > budget
        val renewMs = if (contended) timing.contendedRenewMs else timing.renewMs
        return CreditAnswer(endpoint, stamp, credits, timing.leaseMs, renewMs)
    }

    /**
     * Calls that may run on grants of this owner, without those of its own instance. A former owner reports them to the
     * new owner, because their holders may not have contacted the new owner yet.
     */
    fun callsUnknownToNewOwner(nowMs: Long): Int {
        expire(nowMs)
        val others = holders.values.filter { it.incarnation != self }.sumOf(HolderAccount::committed)
        return others + drainingCalls.filterNot(DrainingCalls::fromSelf).sumOf(DrainingCalls::count)
    }

    /** Granted credits plus calls that may still run on expired grants, summed over all holders. */
    fun committed(nowMs: Long): Int {
        expire(nowMs)
        return holders.values.sumOf(HolderAccount::committed) + drainingCalls.sumOf(DrainingCalls::count)
    }

    /** Voters that currently follow this owner. */
    fun followers(nowMs: Long): Set<InstanceId> {
        expire(nowMs)
        return followingVoters().keys
    }

    private fun followingVoters() = holders.filterValues { it.role == HolderRole.VOTER }

    private fun isNewest(holder: HolderId, request: CreditRequest, nowMs: Long): Boolean {
        val seen = sequences[holder]
        if (seen != null && request.sequence <= seen.sequence) return false
        sequences[holder] = ReceivedSequence(request.sequence, nowMs)
        return true
    }

    private fun isFresh(echo: CreditStamp?, nowMs: Long): Boolean =
        echo != null && echo.owner == self && nowMs - echo.atMs <= timing.maxStampAgeMs

    private fun openOrUpdateAccount(holder: HolderId, request: CreditRequest, nowMs: Long): HolderAccount {
        val existing = holders[holder.instance]
        if (existing != null && existing.incarnation != holder.incarnation) {
            closeAccount(holder.instance, existing, existing.committed, nowMs)
        }
        val account = holders.getOrPut(holder.instance) {
            val processStartedAtMs = nowMs - request.ageMs
            HolderAccount(
                holder.incarnation,
                nowMs,
                processStartedAtMs,
                settledFromMs = processStartedAtMs + timing.settleMs,
            )
        }
        account.role = request.role
        account.lastRequestAtMs = nowMs
        account.inFlight = request.inFlight
        account.wanted = request.wanted
        account.grants.removeAll { it.serial < (request.echo?.serial ?: 0) }
        return account
    }

    private fun closeAccount(holder: InstanceId, account: HolderAccount, calls: Int, nowMs: Long) {
        holders.remove(holder)
        val untilMs = nowMs + timing.drainMs + timing.marginMs
        if (calls > 0) drainingCalls += DrainingCalls(calls, untilMs, fromSelf = account.incarnation == self)
    }

    private fun grant(holder: InstanceId, budget: Int, nowMs: Long): Int {
        val target = CreditSplit.targets(budget, demands(), rotation = nowMs / ROTATION_MS)[holder] ?: 0
        val others = holders.filterKeys { it != holder }.values.sumOf(HolderAccount::committed)
        val free = budget - others - drainingCalls.sumOf(DrainingCalls::count)
        return minOf(target, free).coerceAtLeast(0)
    }

    private fun demands() = holders.map { (holder, account) ->
        CreditDemand(holder, account.role, maxOf(account.wanted, account.inFlight))
    }

    private fun budget(electorate: Electorate, limit: Int, nowMs: Long): Int {
        val followers = followingVoters()
        if (electorate.isCoveredBy(followers.keys) && followers.values.all { it.settledFromMs <= nowMs }) return limit
        return electorate.share(limit, followers.filterValues { nowMs - it.followingSinceMs >= timing.settleMs }.keys)
    }

    private fun expire(nowMs: Long) {
        val expired = holders.filterValues { nowMs - it.lastRequestAtMs > timing.leaseMs }
        for ((holder, account) in expired) {
            closeAccount(holder, account, account.committed, account.lastRequestAtMs + timing.leaseMs)
        }
        drainingCalls.removeAll { it.untilMs < nowMs }
        sequences.values.removeAll { nowMs - it.receivedAtMs > SEQUENCE_RETENTION_FACTOR * timing.settleMs }
    }

    private class HolderAccount(
        val incarnation: Incarnation,
        val followingSinceMs: Long,
        val processStartedAtMs: Long,
        /** From this time on, no call of the previous process with the same instance ID can still run. */
        var settledFromMs: Long,
    ) {
        var role = HolderRole.BORROWER
        val grants = mutableListOf<Grant>()
        var lastRequestAtMs = followingSinceMs
        var inFlight = 0
        var wanted = 0

        /** The holder may be using any grant since the one whose stamp it last returned. */
        val committed: Int get() = maxOf(inFlight, grants.maxOfOrNull(Grant::credits) ?: 0)
    }

    private class Grant(val serial: Long, val credits: Int)

    private class DrainingCalls(val count: Int, val untilMs: Long, val fromSelf: Boolean)

    private class ReceivedSequence(val sequence: Long, val receivedAtMs: Long)

    private companion object {
        /** How long the same holder is served first when there are fewer credits than holders. */
        const val ROTATION_MS = 2_000L

        /** Sequence numbers are kept for this many times [CreditTiming.settleMs] after the last request. */
        const val SEQUENCE_RETENTION_FACTOR = 4
    }
}
