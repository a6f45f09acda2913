package io.oriolehall.policy.config

import kotlin.random.Random

/**
 * Waits between tries of something that fails: each is drawn at random up to a bound that doubles, so that instances
 * which failed together do not come back together.
 *
 * @property firstMs bound of the first wait, milliseconds.
 * @property longestMs highest bound, milliseconds.
 */
class BackOff(
    private val firstMs: Long = 1_000,
    private val longestMs: Long = 5_000,
    private val random: Random = Random.Default,
) {
    private var boundMs = firstMs

    /** The next wait, milliseconds. */
    fun next(): Long {
        val wait = random.nextLong(MIN_WAIT_MS, boundMs + 1)
        boundMs = (boundMs * 2).coerceAtMost(longestMs)
        return wait
    }

    /** Starts again after a success. */
    fun reset() {
        boundMs = firstMs
    }

    private companion object {
        const val MIN_WAIT_MS = 50L
    }
}
