package io.oriolehall.dispatch.retries

import kotlin.math.exp

/**
 * Whether a service has idle capacity, as far as this instance knows from its own requests. It takes the number of its
 * requests in progress, averaged over time, for that of every instance. A decline because of overload, or a request
 * that had to wait for an endpoint, shows that capacity is lacking now. Times are monotonic milliseconds. Not
 * thread-safe.
 */
class ServiceLoad {
    private var recentWorkMs = 0.0
    private var updatedAtMs = 0L
    private var observedSinceMs: Long? = null
    private var saturatedUntilMs = Long.MIN_VALUE

    /** Records that an attempt took [elapsedMs] at its endpoint. */
    fun onWork(elapsedMs: Long, nowMs: Long) {
        if (observedSinceMs == null) observedSinceMs = nowMs - elapsedMs
        recentWorkMs = recentWorkAt(nowMs) + elapsedMs
        updatedAtMs = nowMs
    }

    /** Records that an endpoint declined because of overload, or that a request waited for an endpoint. */
    fun onSaturated(nowMs: Long) {
        saturatedUntilMs = nowMs + SATURATION_MS
    }

    /** True if [slots], the slots of all endpoints in use, are not nearly taken by the requests of [instances]. */
    fun hasIdleCapacity(nowMs: Long, slots: Int, instances: Int): Boolean =
        nowMs >= saturatedUntilMs &&
            averageInProgress(nowMs) * maxOf(1, instances) < slots * MAX_UTILISATION

    /** Requests of this instance in progress, averaged over the time since its first one or the time constant. */
    private fun averageInProgress(nowMs: Long): Double {
        val observedMs = nowMs - (observedSinceMs ?: return 0.0)
        // Without the second factor, an instance that has just started would take a full service for idle.
        val weightMs = AVERAGING_MS * (1 - exp(-maxOf(1, observedMs) / AVERAGING_MS))
        return recentWorkAt(nowMs) / weightMs
    }

    private fun recentWorkAt(nowMs: Long): Double = recentWorkMs * exp((updatedAtMs - nowMs) / AVERAGING_MS)

    private companion object {
        /** Time constant of the average: some ten requests of an instance that sees one in three seconds. */
        const val AVERAGING_MS = 30_000.0

        /** Above this share, random arrivals of other instances find all slots taken at times. */
        const val MAX_UTILISATION = 0.7
        const val SATURATION_MS = 1_000L
    }
}
