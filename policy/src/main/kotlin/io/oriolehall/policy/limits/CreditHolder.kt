package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId

/** A request and the owner it is for. */
data class AddressedCreditRequest(val owner: InstanceId, val sentAtMs: Long, val request: CreditRequest)

/**
 * One instance's credits for one endpoint. Calls start only while the lease runs, by this instance's monotonic clock,
 * counted from the sending of the request; a process that was paused finds its lease expired. A call counts until it
 * ends, also when the lease has run out.
 *
 * Safe for use by several threads: traffic starts and ends calls, the control thread renews.
 *
 * @param startedAtMs monotonic time at which this instance's process started, milliseconds.
 */
class CreditHolder(
    private val endpoint: EndpointId,
    private val timing: CreditTiming,
    private val startedAtMs: Long,
) {
    private var lease = NO_LEASE
    private var following: InstanceId? = null
    private var echo: CreditStamp? = null
    private var freeFromMs = Long.MIN_VALUE
    private var sequence = 0L
    private var running = 0
    private var waiting = 0
    private var demandAtMs = NEVER
    private var askedAtMs = NEVER
    private var askAtMs = NEVER
    private var observed = WorkTally()

    /** Calls of this instance that have not ended. */
    val inFlight: Int @Synchronized get() = running

    /** Credits of the present lease that are not in use; 0 when it has run out. */
    @Synchronized
    fun room(nowMs: Long): Int = if (nowMs < lease.usableUntilMs) maxOf(0, lease.credits - running) else 0

    /** Takes a credit for a call that starts now; false when there is none. */
    @Synchronized
    fun tryStart(nowMs: Long): Boolean {
        if (room(nowMs) == 0) return false
        running++
        demandAtMs = nowMs
        return true
    }

    /**
     * Notes that a call ended, with its time to the first output in milliseconds when it completed. After a declined
     * call nothing starts until the owner has answered again.
     */
    @Synchronized
    fun finish(result: CallResult, firstOutputMs: Double = 0.0) {
        check(running > 0) { "a call to $endpoint ended that had not started; pair each finish with a tryStart" }
        running--
        observed.add(result, firstOutputMs)
        if (result == CallResult.DECLINED) lease = NO_LEASE
    }

    /** Notes how many calls wait for this endpoint, which the owner sees as demand. */
    @Synchronized
    fun expectDemand(calls: Int, nowMs: Long) {
        waiting = calls
        if (calls > 0) demandAtMs = nowMs
    }

    /** True when calls run, or have started or waited within the last [withinMs] milliseconds. */
    @Synchronized
    fun isInUse(withinMs: Long, nowMs: Long): Boolean = running > 0 || nowMs - demandAtMs < withinMs

    /** True when the next request is due within [slackMs] milliseconds, or calls wait that have no credit. */
    @Synchronized
    fun isDue(nowMs: Long, slackMs: Long = 0): Boolean =
        nowMs + slackMs >= askAtMs || (waiting > 0 && room(nowMs) == 0 && nowMs - askedAtMs >= timing.contendedMs)

    /** Puts the next request off: one has been made, or there is nobody to ask. */
    @Synchronized
    fun postpone(nowMs: Long) {
        askedAtMs = nowMs
        askAtMs = nowMs + timing.retryMs
    }

    /**
     * The next request: to [desiredOwner], or to the owner that this instance still follows, so as to leave it.
     *
     * @param inUse false when this instance only votes and wants no credit that it does not use already.
     * @param extraInFlight calls of others that this instance knows of from its own time as the endpoint's owner.
     */
    @Synchronized
    fun nextRequest(
        desiredOwner: InstanceId,
        role: HolderRole,
        inUse: Boolean,
        nowMs: Long,
        extraInFlight: Int = 0,
    ): AddressedCreditRequest {
        val current = following
        if (current == null || (current != desiredOwner && nowMs >= freeFromMs)) follow(desiredOwner)
        val owner = following ?: desiredOwner
        val leaving = owner != desiredOwner
        if (leaving) lease = NO_LEASE
        postpone(nowMs)
        val request = CreditRequest(
            endpoint = endpoint,
            sequence = ++sequence,
            role = role,
            echo = echo,
            inFlight = running + extraInFlight,
            wanted = running + if (inUse) waiting + 1 else 0,
            ageMs = minOf(nowMs - startedAtMs, CreditRequest.MAX_AGE_MS),
            release = leaving,
            observed = observed.drain(),
        )
        return AddressedCreditRequest(owner, nowMs, request)
    }

    /** Takes in the owner's answer to [sent]. An answer that came out of order or from a former owner is dropped. */
    @Synchronized
    fun accept(sent: AddressedCreditRequest, answer: CreditAnswer, nowMs: Long) {
        if (sent.owner != following) return
        if (answer.released) {
            leave(nowMs)
            return
        }
        if (echo.isNewerThan(answer.stamp)) return
        echo = answer.stamp
        freeFromMs = nowMs + timing.unfollowMs
        askAtMs = sent.sentAtMs + answer.renewMs
        if (sent.request.release) return
        lease = Lease(answer.credits, sent.sentAtMs + answer.leaseMs - timing.marginMs)
    }

    private fun CreditStamp?.isNewerThan(other: CreditStamp): Boolean =
        this != null && owner == other.owner && serial >= other.serial

    private fun follow(owner: InstanceId) {
        lease = NO_LEASE
        following = owner
        echo = null
    }

    private fun leave(nowMs: Long) {
        lease = NO_LEASE
        following = null
        echo = null
        freeFromMs = nowMs
        askAtMs = nowMs
    }

    private class Lease(val credits: Int, val usableUntilMs: Long)

    private companion object {
        /** Long before any time, and still far from an overflow. */
        const val NEVER = Long.MIN_VALUE / 2
        val NO_LEASE = Lease(0, NEVER)
    }
}
