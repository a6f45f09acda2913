package io.oriolehall.dispatch.limits

/**
 * Retry budget: this instance's share of the retries that all instances together may send to a service in a sliding
 * window. The budget is a ratio of the first attempts of this instance plus a fixed allowance divided by the number of
 * instances. A recently started process gets less of the allowance, because its predecessor may already have used it in
 * the current window.
 *
 * @param ratio retries per first attempt.
 * @param allowance retries in a window over all instances, in addition to the ratio.
 * @param windowMs length of the window, milliseconds.
 * @param startedAtMs when the process started, monotonic milliseconds.
 */
class RetryAllowance(
    private val ratio: Double,
    private val allowance: Double,
    private val windowMs: Long,
    private val startedAtMs: Long,
) {
    private val firstAttempts = ArrayDeque<Long>()
    private val retries = ArrayDeque<Long>()

    fun onFirstAttempt(nowMs: Long) {
        firstAttempts.addLast(nowMs)
        trim(nowMs)
    }

    /** Takes one retry from the budget if the window has one left for this instance, one of [instances]. */
    fun tryAcquire(nowMs: Long, instances: Int): Boolean {
        trim(nowMs)
        if (retries.size + 1 > limit(nowMs, instances)) return false
        retries.addLast(nowMs)
        return true
    }

    /** Retries that this instance, one of [instances], may still send in the window that ends at [nowMs]. */
    fun available(nowMs: Long, instances: Int): Int =
        maxOf(0, (limit(nowMs, instances) - countInWindow(retries, nowMs)).toInt())

    private fun limit(nowMs: Long, instances: Int): Double {
        val startupShare = ((nowMs - startedAtMs).toDouble() / windowMs).coerceIn(0.0, 1.0)
        val share = allowance / maxOf(1, instances) * startupShare
        return USED_SHARE * (ratio * countInWindow(firstAttempts, nowMs) + share)
    }

    private fun countInWindow(timesMs: ArrayDeque<Long>, nowMs: Long): Int {
        val firstInWindow = timesMs.indexOfFirst { it > nowMs - windowMs }
        return if (firstInWindow < 0) 0 else timesMs.size - firstInWindow
    }

    private fun trim(nowMs: Long) {
        while (firstAttempts.isNotEmpty() && firstAttempts.first() <= nowMs - windowMs) firstAttempts.removeFirst()
        while (retries.isNotEmpty() && retries.first() <= nowMs - windowMs) retries.removeFirst()
    }

    private companion object {
        /** Share of the budget that is used; the rest covers instances that disagree on the number of instances. */
        const val USED_SHARE = 0.8
    }
}
