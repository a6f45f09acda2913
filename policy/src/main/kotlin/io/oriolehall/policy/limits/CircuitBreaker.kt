package io.oriolehall.policy.limits

/** Blocks calls to an endpoint that keeps failing, and admits single probes to detect when it has recovered. */
class CircuitBreaker(private val settings: RampSettings) {
    /** Which calls are allowed: all when closed, none when open, one probe at a time when half-open. */
    enum class State { CLOSED, OPEN, HALF_OPEN }

    private var consecutiveFailures = 0
    private var timesOpened = 0
    private var openUntilMs = Long.MIN_VALUE

    fun state(nowMs: Long): State = when {
        timesOpened == 0 -> State.CLOSED
        nowMs < openUntilMs -> State.OPEN
        else -> State.HALF_OPEN
    }

    /** Records the results of calls; returns true if a completed call closed the breaker. */
    fun onWork(work: ObservedWork, nowMs: Long): Boolean {
        if (work.completed > 0) return close()
        consecutiveFailures += work.failed
        val failedProbe = work.failed > 0 && state(nowMs) == State.HALF_OPEN
        if (failedProbe || (timesOpened == 0 && consecutiveFailures >= settings.failuresToOpen)) open(nowMs)
        return false
    }

    /** Resets the breaker, for example because the failed process was replaced; returns true if it was not closed. */
    fun close(): Boolean {
        val wasOpen = timesOpened > 0
        consecutiveFailures = 0
        timesOpened = 0
        return wasOpen
    }

    private fun open(nowMs: Long) {
        val openForMs = (settings.firstOpenMs shl minOf(timesOpened, MAX_DOUBLINGS)).coerceAtMost(settings.maxOpenMs)
        timesOpened++
        openUntilMs = nowMs + openForMs
    }

    private companion object {
        /** Keeps the shift from overflowing after many failed probes. */
        const val MAX_DOUBLINGS = 10
    }
}
