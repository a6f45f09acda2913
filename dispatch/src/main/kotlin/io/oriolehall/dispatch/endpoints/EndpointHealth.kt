package io.oriolehall.dispatch.endpoints

/**
 * What the instance's own traffic says of one endpoint. Health checks cost a slot and are priced, so failures of real
 * requests decide: after each run of failures the endpoint is left out for a while that doubles, and one request tries
 * it again.
 *
 * Times are monotonic milliseconds. Not safe for use by several threads.
 */
class EndpointHealth {
    private var failures = 0
    private var excludedUntilMs = Long.MIN_VALUE

    /** Mean of recent response times, milliseconds; 0 before the first answer. */
    var responseMs = 0.0
        private set

    /** Share of recent requests that failed, 0 to 1. */
    var failureShare = 0.0
        private set

    fun isExcluded(nowMs: Long): Boolean = nowMs < excludedUntilMs

    fun succeeded(elapsedMs: Double) {
        failures = 0
        failureShare *= 1 - SHARE_STEP
        responseMs = if (responseMs == 0.0) elapsedMs else responseMs + (elapsedMs - responseMs) * TIME_STEP
    }

    /** The endpoint answered with a failure of its own; it lives. */
    fun answeredWithFailure() {
        failureShare += (1 - failureShare) * SHARE_STEP
    }

    /** The connection was refused, reset or silent. */
    fun failed(nowMs: Long) {
        failures++
        failureShare += (1 - failureShare) * SHARE_STEP
        val backoffMs = minOf(MAX_EXCLUSION_MS, FIRST_EXCLUSION_MS shl minOf(failures - 1, MAX_DOUBLINGS))
        excludedUntilMs = nowMs + backoffMs
    }

    /** The endpoint is full; it gets nothing for a moment. */
    fun overloaded(nowMs: Long, forMs: Long = OVERLOAD_EXCLUSION_MS) {
        excludedUntilMs = maxOf(excludedUntilMs, nowMs + forMs)
    }

    private companion object {
        const val SHARE_STEP = 0.2
        const val TIME_STEP = 0.2
        const val FIRST_EXCLUSION_MS = 300L
        const val MAX_EXCLUSION_MS = 2_400L
        const val MAX_DOUBLINGS = 3
        const val OVERLOAD_EXCLUSION_MS = 100L
    }
}
