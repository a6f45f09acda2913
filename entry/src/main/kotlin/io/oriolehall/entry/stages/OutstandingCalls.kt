package io.oriolehall.entry.stages

import io.oriolehall.model.EndpointId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Counts this instance's calls that have not ended, per endpoint. Safe for use by several threads. */
class OutstandingCalls {
    private val counts = ConcurrentHashMap<EndpointId, AtomicInteger>()

    fun count(endpoint: EndpointId): Int = counts[endpoint]?.get() ?: 0

    /** Runs [call] and counts it for as long. */
    suspend fun <T> during(endpoint: EndpointId, call: suspend () -> T): T {
        val counter = counts.computeIfAbsent(endpoint) { AtomicInteger() }
        counter.incrementAndGet()
        try {
            return call()
        } finally {
            counter.decrementAndGet()
        }
    }
}
