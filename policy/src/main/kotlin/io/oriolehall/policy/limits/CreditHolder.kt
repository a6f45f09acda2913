package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId

/** A credit request together with the owner that it is sent to. */
data class AddressedCreditRequest(val owner: InstanceId, val sentAtMs: Long, val request: CreditRequest)

/**
 * The credits that this instance holds for one endpoint. Calls may start only while the lease is valid. The lease is
 * measured on this instance's monotonic clock from the time the request was sent, so a process that was paused finds
 * its lease expired. A running call counts until it ends, even after the lease has expired.
 *
 * Thread-safe: request threads start and finish calls while the control thread renews the lease.
 *
 * @param startedAtMs monotonic time at which this instance's process started, milliseconds.
 */
class CreditHolder(
    private val endpoint: EndpointId,
    private val timing: CreditTiming,
    private val startedAtMs: Long,
) {
    private var lease = NO_LEASE
    private var followedOwner: InstanceId? = null
    private var latestStamp: CreditStamp? = null
    private var switchAllowedFromMs = Long.MIN_VALUE
    private var sequence = 0L
    private var runningCalls = 0
    private var waitingCalls = 0
    private var lastDemandAtMs = DISTANT_PAST_MS
    private var lastRequestAtMs = DISTANT_PAST_MS
    private var nextRequestAtMs = DISTANT_PAST_MS
    private var observed = ObservedWorkAccumulator()

    /** Calls of this instance that have not finished. */
    val inFlight: Int @Synchronized get() = runningCalls

    /** Unused credits of the current lease; 0 if it has expired. */
    @Synchronized
    fun availableCredits(nowMs: Long): Int =
        if (nowMs < lease.usableUntilMs) maxOf(0, lease.credits - runningCalls) else 0

    /** Takes a credit for a call that starts now; returns false if none is available. */
    @Synchronized
    fun tryStart(nowMs: Long): Boolean {
        if (availableCredits(nowMs) == 0) return false
        runningCalls++
        lastDemandAtMs = nowMs
        return true
    }

    /**
     * Records the result of a call and, if it completed, its time to the first output in milliseconds. After a declined
     * call no further call starts until the owner has answered the next credit request.
     */
    @Synchronized
    fun finish(result: CallResult, firstOutputMs: Double = 0.0) {
        check(runningCalls > 0) {
            "finish was called for $endpoint while no call was running; each finish needs a successful tryStart"
        }
        runningCalls--
        observed.add(result, firstOutputMs)
        if (result == CallResult.DECLINED) lease = NO_LEASE
    }

    /** Sets the number of calls waiting for this endpoint, which is reported to the owner as demand. */
    @Synchronized
    fun setWaitingCalls(calls: Int, nowMs: Long) {
        waitingCalls = calls
        if (calls > 0) lastDemandAtMs = nowMs
    }

    /** True if calls are running, or if any started or waited within the last [withinMs] milliseconds. */
    @Synchronized
    fun isInUse(withinMs: Long, nowMs: Long): Boolean = runningCalls > 0 || nowMs - lastDemandAtMs < withinMs

    /**
     * True if the next request is due within [slackMs] milliseconds, or if calls are waiting without a credit and the
     * last request was made at least [CreditTiming.contendedRenewMs] ago.
     */
    @Synchronized
    fun isDue(nowMs: Long, slackMs: Long = 0): Boolean =
        nowMs + slackMs >= nextRequestAtMs ||
            (waitingCalls > 0 && availableCredits(nowMs) == 0 && nowMs - lastRequestAtMs >= timing.contendedRenewMs)

    /** Schedules the next request after the retry time, because one was just sent or no owner is available. */
    @Synchronized
    fun postpone(nowMs: Long) {
        lastRequestAtMs = nowMs
        nextRequestAtMs = nowMs + timing.retryMs
    }

    /**
     * Creates the next request. It goes to [desiredOwner], or, while this instance still follows another owner, to that
     * owner as a release.
     *
     * @param inUse false if this instance only votes and needs no credits beyond those for its running calls.
     * @param extraInFlight calls of other instances that may still run on credits which this instance granted while it
     *   owned the endpoint.
     */
    @Synchronized
    fun nextRequest(
        desiredOwner: InstanceId,
        role: HolderRole,
        inUse: Boolean,
        nowMs: Long,
        extraInFlight: Int = 0,
    ): AddressedCreditRequest {
        val current = followedOwner
        if (current == null || (current != desiredOwner && nowMs >= switchAllowedFromMs)) follow(desiredOwner)
        val owner = followedOwner ?: desiredOwner
        val switchingOwner = owner != desiredOwner
        if (switchingOwner) lease = NO_LEASE
        postpone(nowMs)
        val request = CreditRequest(
            endpoint = endpoint,
            sequence = ++sequence,
            role = role,
            echo = latestStamp,
            inFlight = runningCalls + extraInFlight,
            wanted = runningCalls + if (inUse) waitingCalls + 1 else 0,
            ageMs = minOf(nowMs - startedAtMs, CreditRequest.MAX_AGE_MS),
            release = switchingOwner,
            observed = observed.takeAndReset(),
        )
        return AddressedCreditRequest(owner, nowMs, request)
    }

    /** Applies the owner's answer to [sent]. Answers that arrive out of order or from a former owner are ignored. */
    @Synchronized
    fun accept(sent: AddressedCreditRequest, answer: CreditAnswer, nowMs: Long) {
        if (sent.owner != followedOwner) return
        if (answer.released) {
            unfollow(nowMs)
            return
        }
        if (latestStamp.isAtLeastAsNewAs(answer.stamp)) return
        latestStamp = answer.stamp
        switchAllowedFromMs = nowMs + timing.unfollowMs
        nextRequestAtMs = sent.sentAtMs + answer.renewMs
        if (sent.request.release) return
        lease = Lease(answer.credits, sent.sentAtMs + answer.leaseMs - timing.marginMs)
    }

    private fun CreditStamp?.isAtLeastAsNewAs(other: CreditStamp): Boolean =
        this != null && owner == other.owner && serial >= other.serial

    private fun follow(owner: InstanceId) {
        lease = NO_LEASE
        followedOwner = owner
        latestStamp = null
    }

    private fun unfollow(nowMs: Long) {
        lease = NO_LEASE
        followedOwner = null
        latestStamp = null
        switchAllowedFromMs = nowMs
        nextRequestAtMs = nowMs
    }

    private class Lease(val credits: Int, val usableUntilMs: Long)

    private companion object {
        /** Earlier than any real timestamp, but not so small that differences overflow. */
        const val DISTANT_PAST_MS = Long.MIN_VALUE / 2
        val NO_LEASE = Lease(0, DISTANT_PAST_MS)
    }
}
