package io.oriolehall.policy.limits

/** Stops calls to an endpoint that only fails, and lets single probes find out when it is back. */
class CircuitBreaker(private val settings: RampSettings) {
    /** What may be sent. */
    enum class State { CLOSED, OPEN, HALF_OPEN }

    private var failures = 0
    private var opened = 0
    private var openUntilMs = Long.MIN_VALUE

    fun state(nowMs: Long): State = when {
        opened == 0 -> State.CLOSED
        nowMs < openUntilMs -> State.OPEN
        else -> State.HALF_OPEN
    }

    /** Takes in how calls ended; true when a probe just succeeded. */
    fun onWork(work: ObservedWork, nowMs: Long): Boolean {
        if (work.completed > 0) return close()
        failures += work.failed
        val failedProbe = work.failed > 0 && state(nowMs) == State.HALF_OPEN
        if (failedProbe || (opened == 0 && failures >= settings.failuresToOpen)) open(nowMs)
        return false
    }

    /** Forgets all failures, as of a process that is gone; true when calls were stopped. */
    fun close(): Boolean {
        val wasOpen = opened > 0
        failures = 0
        opened = 0
        return wasOpen
    }

    private fun open(nowMs: Long) {
        val wait = (settings.openMs shl minOf(opened, MAX_DOUBLINGS)).coerceAtMost(settings.maxOpenMs)
        opened++
        openUntilMs = nowMs + wait
    }

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
