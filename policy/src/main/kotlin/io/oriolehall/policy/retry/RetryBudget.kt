package io.oriolehall.policy.retry

/**
 * Limits retries to a ratio of first attempts, so that an outage does not multiply the load. Each first attempt adds
 * [ratio] to the budget, which holds at most [burst] retries. Thread-safe.
 *
 * @param ratio retries allowed per first attempt.
 * @param burst maximum number of unused retries; the budget starts with this number.
 */
class RetryBudget(private val ratio: Double = 0.1, private val burst: Double = 20.0) {
    private var tokens = burst

    /** Adds the retry share of a first attempt to the budget. */
    @Synchronized
    fun onFirstAttempt() {
        tokens = minOf(burst, tokens + ratio)
    }

    /** Takes one retry from the budget; returns false if less than one is left. */
    @Synchronized
    fun tryAcquire(): Boolean {
        if (tokens < 1) return false
        tokens--
        return true
    }
}
