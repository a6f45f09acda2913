package io.oriolehall.gateway.stages

import io.oriolehall.dispatch.config.PieceLimits
import io.oriolehall.gateway.TrafficLoop

/**
 * How long stages take now, from what their owners said last. A queue that nobody asked about is taken to drain in real
 * time. Used on the traffic thread only.
 */
internal class StageLoads {
    private class Said(val expectedMs: Long, val atMs: Long)

    private val said = HashMap<String, Said>()

    fun note(service: String, expectedMs: Long) {
        if (expectedMs > 0) said[service] = Said(expectedMs, TrafficLoop.nowMs())
    }

    /** Expected time of a stage request to [service], at least that of a call of one piece, milliseconds. */
    fun expectedMs(service: String, limits: PieceLimits): Double {
        val leastMs = limits.callMs + limits.pieceMs
        val last = said[service] ?: return leastMs
        val ageMs = TrafficLoop.nowMs() - last.atMs
        return maxOf(leastMs, (last.expectedMs - ageMs).toDouble())
    }
}
