package io.oriolehall.dispatch.endpoints

/**
 * Passive health check of one endpoint, based on the requests of this instance. Active health checks occupy a slot and
 * are billed, so failures of real requests decide: each connection failure excludes the endpoint for a time that
 * doubles with every further failure in a row, after which the next request tries it again.
 *
 * Times are monotonic milliseconds. Not thread-safe.
 */
class EndpointHealth {
    private var consecutiveFailures = 0

    /** Until when requests avoid the endpoint; [Long.MIN_VALUE] if it never was excluded. */
    var excludedUntilMs = Long.MIN_VALUE
        private set

    /** Moving average of response times, milliseconds; 0 before the first response. */
    var responseMs = 0.0
        private set

    /** Moving average of the share of requests that failed, 0 to 1. */
    var failureRate = 0.0
        private set

    /** True once the endpoint has responded to this instance. */
    var hasResponded = false
        private set

    fun isExcluded(nowMs: Long): Boolean = nowMs < excludedUntilMs

    fun onSuccess(elapsedMs: Double) {
        consecutiveFailures = 0
        hasResponded = true
        failureRate *= 1 - FAILURE_SMOOTHING
        responseMs = if (responseMs == 0.0) elapsedMs else responseMs + (elapsedMs - responseMs) * RESPONSE_SMOOTHING
    }

    /** Records an error response: the endpoint is reachable and is not excluded. */
    fun onErrorResponse() {
        failureRate += (1 - failureRate) * FAILURE_SMOOTHING
    }

    /**
     * Records that this instance cancelled a request after [elapsedMs]. That is a lower bound of its response time, so
     * it can only raise the average; it is no failure.
     */
    fun onCancelled(elapsedMs: Double) {
        if (responseMs == 0.0) {
            responseMs = elapsedMs
        } else if (elapsedMs > responseMs) {
            responseMs += (elapsedMs - responseMs) * RESPONSE_SMOOTHING
        }
    }

    /** Records that the connection was refused, was reset or timed out. */
    fun onConnectionFailure(nowMs: Long) {
        consecutiveFailures++
        failureRate += (1 - failureRate) * FAILURE_SMOOTHING
        val backoffMs = minOf(MAX_EXCLUSION_MS, FIRST_EXCLUSION_MS shl minOf(consecutiveFailures - 1, MAX_DOUBLINGS))
        excludedUntilMs = maxOf(excludedUntilMs, nowMs + backoffMs)
    }

    /** Records that the endpoint is at capacity, and excludes it for a moment, or [durationMs] if that is longer. */
    fun onOverload(nowMs: Long, durationMs: Long = 0) {
        excludedUntilMs = maxOf(excludedUntilMs, nowMs + maxOf(durationMs, OVERLOAD_EXCLUSION_MS))
    }

    private companion object {
        const val FAILURE_SMOOTHING = 0.2
        const val RESPONSE_SMOOTHING = 0.2
        const val FIRST_EXCLUSION_MS = 300L
        const val MAX_EXCLUSION_MS = 2_400L
        const val MAX_DOUBLINGS = 3
        const val OVERLOAD_EXCLUSION_MS = 100L
    }
}
