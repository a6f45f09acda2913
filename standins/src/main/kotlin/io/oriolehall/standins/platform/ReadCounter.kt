package io.oriolehall.standins.platform

import kotlinx.serialization.Serializable
import java.util.concurrent.TimeUnit

/**
 * Counts of the platform's reads.
 *
 * @property calls reads by path, refused ones included.
 * @property refused reads beyond the rate, answered 429.
 */
@Serializable
data class PlatformStats(val total: Long, val calls: Map<String, Long>, val refused: Long)

/** Counts reads and refuses those beyond [perSecond]; the allowance of up to one second can be saved. */
internal class ReadCounter(private val perSecond: Int, private val nanoTime: () -> Long = System::nanoTime) {
    private val calls = mutableMapOf<String, Long>()
    private var refused = 0L
    private var allowance = perSecond.toDouble()
    private var filledAt = nanoTime()

    /** Counts a read of [path]; false when it exceeds the rate. */
    @Synchronized
    fun admit(path: String): Boolean {
        calls.merge(path, 1L, Long::plus)
        val now = nanoTime()
        val gained = (now - filledAt) * perSecond.toDouble() / NANOS_PER_SECOND
        allowance = (allowance + gained).coerceAtMost(perSecond.toDouble())
        filledAt = now
        if (allowance < 1.0) {
            refused++
            return false
        }
        allowance -= 1.0
        return true
    }

    @Synchronized
    fun stats() = PlatformStats(calls.values.sum(), calls.toMap(), refused)

    private companion object {
        val NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1)
    }
}
