package io.oriolehall.dispatch.retries

import kotlin.math.ceil

/**
 * The last response times of one route at one service, as observed by this instance. A cancelled attempt is recorded
 * with the time until its cancellation: its response time would have been longer, and since it is cancelled only after
 * the quantile has passed, its rank is correct.
 *
 * The k-th smallest of n times is the estimate of the quantile k / (n + 1), which holds for any distribution. With few
 * times the largest one stands for all higher quantiles. Times are monotonic milliseconds. Not thread-safe.
 */
class ResponseTimes {
    private class Observation(val elapsedMs: Long, val observedAtMs: Long)

    private val observations = ArrayDeque<Observation>()

    fun record(elapsedMs: Long, nowMs: Long) {
        if (observations.size == MAX_OBSERVATIONS) observations.removeFirst()
        observations.addLast(Observation(elapsedMs, nowMs))
    }

    /** Estimates the quantile [level], 0 to 1; null if there are too few recent observations. */
    fun quantile(level: Double, nowMs: Long): Long? {
        while (observations.isNotEmpty() && observations.first().observedAtMs <= nowMs - MAX_AGE_MS) {
            observations.removeFirst()
        }
        if (observations.size < MIN_OBSERVATIONS) return null
        val sortedMs = observations.map { it.elapsedMs }.sorted()
        val rank = ceil(level * (sortedMs.size + 1) - ROUNDING).toInt().coerceIn(1, sortedMs.size)
        return sortedMs[rank - 1]
    }

    companion object {
        /** The largest of 9 times is on average the quantile 0.9. */
        const val MIN_OBSERVATIONS = 9
        const val MAX_OBSERVATIONS = 64

        /** Ten minutes: an instance that gets one request of a route in a minute has enough observations. */
        const val MAX_AGE_MS = 600_000L

        /** Keeps a product such as 0.9 x 10 from being rounded up to the next rank. */
        private const val ROUNDING = 1e-9
    }
}
