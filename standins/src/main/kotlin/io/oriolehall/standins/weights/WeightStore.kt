package io.oriolehall.standins.weights

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.Serializable
import java.util.concurrent.TimeUnit

/**
 * Counts of the weight store.
 *
 * @property fetches fetches begun, by `model/version`.
 * @property maxConcurrent most fetches at once.
 */
@Serializable
data class WeightStats(val fetches: Map<String, Int>, val running: Int, val maxConcurrent: Int, val bytes: Long)

/** Weights of [modelBytes] bytes for every model, handed out at [bytesPerSecond] over all fetches together. */
internal class WeightStore(private val bytesPerSecond: Long, private val modelBytes: Int) {
    private val turn = Mutex()
    private val fetches = mutableMapOf<String, Int>()
    private var running = 0
    private var maxConcurrent = 0
    private var bytes = 0L
    private var freeAtNanos = System.nanoTime()

    /** Hands the weights of [name] to [write], piece by piece. */
    suspend fun fetch(name: String, write: suspend (ByteArray) -> Unit) {
        begin(name)
        try {
            var left = modelBytes
            while (left > 0) {
                val piece = ByteArray(minOf(left, PIECE_BYTES))
                awaitRate(piece.size)
                write(piece)
                left -= piece.size
            }
        } finally {
            end()
        }
    }

    @Synchronized
    fun stats() = WeightStats(fetches.toMap(), running, maxConcurrent, bytes)

    @Synchronized
    private fun begin(name: String) {
        fetches.merge(name, 1, Int::plus)
        running++
        maxConcurrent = maxOf(maxConcurrent, running)
    }

    @Synchronized
    private fun end() {
        running--
    }

    private suspend fun awaitRate(size: Int) {
        val waitNanos = turn.withLock {
            val now = System.nanoTime()
            freeAtNanos = maxOf(freeAtNanos, now) + size * TimeUnit.SECONDS.toNanos(1) / bytesPerSecond
            bytes += size
            freeAtNanos - now
        }
        delay(TimeUnit.NANOSECONDS.toMillis(waitNanos))
    }

    private companion object {
        const val PIECE_BYTES = 64 * 1024
    }
}
