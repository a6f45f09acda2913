package io.oriolehall.entry.stages

import io.oriolehall.model.EndpointId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Counts this instance's calls that have not ended, per endpoint. Safe for use by several threads. */
class OutstandingCalls {
    private val counts = ConcurrentHashMap<EndpointId, AtomicInteger>()

    fun count(endpoint: EndpointId): Int = counts[endpoint]?.get() ?: 0

    /** Counts a call that begins. */
    fun begin(endpoint: EndpointId) {
        counts.computeIfAbsent(endpoint) { AtomicInteger() }.incrementAndGet()
    }

    /** Counts a call that has ended. */
    fun end(endpoint: EndpointId) {
        counts[endpoint]?.decrementAndGet()
    }
}
