package io.oriolehall.policy.retry

/**
 * Retries as a share of first calls, so that an outage does not multiply the load. Each first call earns a part of a
 * retry; unused ones are kept up to [burst]. Safe for use by several threads.
 *
 * @param share retries per first call.
 */
class RetryBudget(private val share: Double = 0.1, private val burst: Double = 20.0) {
    private var tokens = burst

    /** Counts a first call. */
    @Synchronized
    fun onFirstCall() {
        tokens = minOf(burst, tokens + share)
    }

    /** Takes one retry; false when the budget is used up. */
    @Synchronized
    fun tryTake(): Boolean {
        if (tokens < 1) return false
        tokens--
        return true
    }
}
