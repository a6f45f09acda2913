package io.oriolehall.dispatch.retries

/**
 * What second attempts at one service may cost on this instance. Each request adds its share to a credit from which
 * second attempts are paid, so that the shares of all instances add up to that of the deployment without messages, and
 * an instance with few requests saves until it can afford a second attempt. The time of a second attempt is not known
 * in advance: the expected time is reserved, and a longer one leaves a debt that later requests pay. Not thread-safe.
 *
 * @param initialShare part of a second attempt that the credit holds at the start, 0 to 1. If each instance draws it at
 *   random, many instances with few requests together send the share of second attempts on average; starting at 0,
 *   an instance with less than a whole attempt in its lifetime would never send one.
 */
class SecondAttemptBudget(private val limits: SecondAttemptLimits, private val initialShare: Double = 0.0) {
    private var attemptCredit = initialShare
    private var workCreditMs = 0.0

    fun onFirstAttempt() {
        attemptCredit = minOf(attemptCredit + limits.requestShare, MAX_SAVED_ATTEMPTS)
    }

    /** Records that a first attempt took [elapsedMs] at its endpoint. */
    fun onFirstAttemptEnded(elapsedMs: Long) {
        workCreditMs = minOf(workCreditMs + limits.workShare * elapsedMs, MAX_SAVED_WORK_MS)
    }

    /** Why a second attempt that is expected to take [expectedMs] cannot be paid now; null if it can. */
    fun obstacle(expectedMs: Long): SecondAttemptObstacle? = when {
        attemptCredit < 1 - ROUNDING -> SecondAttemptObstacle.REQUEST_SHARE
        workCreditMs < expectedMs * (1 - initialShare) - ROUNDING -> SecondAttemptObstacle.WORK_SHARE
        else -> null
    }

    /** Pays for a second attempt, with [expectedMs] of work for now. */
    fun reserve(expectedMs: Long) {
        attemptCredit -= 1
        workCreditMs -= expectedMs
    }

    /** Replaces the reserved [expectedMs] by the [elapsedMs] that the second attempt took. */
    fun settle(expectedMs: Long, elapsedMs: Long) {
        workCreditMs = minOf(workCreditMs + expectedMs - elapsedMs, MAX_SAVED_WORK_MS)
    }

    private companion object {
        /** Bounds the second attempts that all instances may send at once after a quiet time. */
        const val MAX_SAVED_ATTEMPTS = 2.0

        /** As long as the longest plain requests take, milliseconds; the saved attempts limit the short ones. */
        const val MAX_SAVED_WORK_MS = 30_000.0
        const val ROUNDING = 1e-9
    }
}
