package io.oriolehall.dispatch.admission

import io.oriolehall.dispatch.config.PieceLimits

/**
 * How long stages take now, from what their owners said last. A queue that nobody asked about is taken to drain in real
 * time. Times are monotonic milliseconds. Not safe for use by several threads.
 */
class StageLoads {
    private class Said(val expectedMs: Long, val atMs: Long)

    private val said = HashMap<String, Said>()

    /** Notes what the owner of the queue of [service] says now. */
    fun note(service: String, expectedMs: Long, nowMs: Long) {
        if (expectedMs > 0) said[service] = Said(expectedMs, nowMs)
    }

    /** Expected time of a stage request to [service], at least that of a call of one piece, milliseconds. */
    fun expectedMs(service: String, limits: PieceLimits, nowMs: Long): Double {
        val leastMs = limits.callMs + limits.pieceMs
        val last = said[service] ?: return leastMs
        val ageMs = nowMs - last.atMs
        return maxOf(leastMs, (last.expectedMs - ageMs).toDouble())
    }
}
