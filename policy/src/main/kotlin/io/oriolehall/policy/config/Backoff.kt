package io.oriolehall.policy.config

import kotlin.random.Random

/**
 * Exponential backoff with jitter. Each delay is drawn at random below a bound that doubles with every attempt, so that
 * instances that failed at the same time do not retry at the same time.
 *
 * @property initialBoundMs bound of the first delay, milliseconds.
 * @property maxBoundMs maximum bound, milliseconds.
 */
class Backoff(
    private val initialBoundMs: Long = 1_000,
    private val maxBoundMs: Long = 5_000,
    private val random: Random = Random.Default,
) {
    private var boundMs = initialBoundMs

    /** The next delay, milliseconds. */
    fun next(): Long {
        val delay = random.nextLong(MIN_DELAY_MS, boundMs + 1)
        boundMs = (boundMs * 2).coerceAtMost(maxBoundMs)
        return delay
    }

    /** Resets the bound after a success. */
    fun reset() {
        boundMs = initialBoundMs
    }

    private companion object {
        const val MIN_DELAY_MS = 50L
    }
}
