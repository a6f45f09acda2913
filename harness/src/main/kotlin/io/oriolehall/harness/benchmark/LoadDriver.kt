package io.oriolehall.harness.benchmark

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** What a load saw: times in microseconds. */
internal class LoadResult {
    val firstToken: Histogram = ConcurrentHistogram(MAX_MICROS, DIGITS)
    val spacing: Histogram = ConcurrentHistogram(MAX_MICROS, DIGITS)
    val whole = AtomicInteger()
    val failed = AtomicInteger()

    private companion object {
        val MAX_MICROS = TimeUnit.SECONDS.toMicros(60)
        const val DIGITS = 3
    }
}

/** Sends requests at a steady rate, whether earlier ones have ended or not. */
internal class LoadDriver(private val requestsPerSecond: Double) {
    private val numbers = AtomicInteger()

    /** Sends for [seconds] seconds through [caller] into [result] and waits for the last answers. */
    suspend fun run(caller: BenchmarkCaller, seconds: Int, result: LoadResult) = supervisorScope {
        val begun = System.nanoTime()
        val count = (requestsPerSecond * seconds).toInt()
        for (index in 0 until count) {
            val dueNanos = (index * NANOS_PER_SECOND / requestsPerSecond).toLong()
            delay(TimeUnit.NANOSECONDS.toMillis(begun + dueNanos - System.nanoTime()))
            launch { measure(caller, result) }
        }
    }

    private suspend fun measure(caller: BenchmarkCaller, result: LoadResult) {
        val clock = TokenClock(result)
        val whole = caller.call(numbers.incrementAndGet(), clock::token)
        (if (whole) result.whole else result.failed).incrementAndGet()
    }

    private class TokenClock(private val result: LoadResult) {
        private val start = System.nanoTime()
        private var last = 0L

        fun token() {
            val now = System.nanoTime()
            if (last == 0L) {
                result.firstToken.recordValue(TimeUnit.NANOSECONDS.toMicros(now - start))
            } else {
                result.spacing.recordValue(TimeUnit.NANOSECONDS.toMicros(now - last))
            }
            last = now
        }
    }

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000.0
    }
}
