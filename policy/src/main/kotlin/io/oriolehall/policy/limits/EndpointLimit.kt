package io.oriolehall.policy.limits

import io.oriolehall.model.LoadReport

/**
 * The number of concurrent calls that an endpoint can handle, as estimated by its owner. A cold endpoint starts at its
 * cold limit, which is then raised step by step to its warm limit. An endpoint is considered cold when its owner first
 * sees it, when its process start time changes, when its load report states it, when its first outputs take much longer
 * than usual, which is noticed before the next report, and when its circuit breaker closes after failures.
 */
class EndpointLimit(
    private val coldLimit: Int,
    private val warmLimit: Int,
    private val settings: RampSettings = RampSettings(),
) {
    private val breaker = CircuitBreaker(settings)
    private var currentLimit = coldLimit.toDouble()
    private var lastChangeAtMs: Long? = null
    private var report: LoadReport? = null

    /** Moving average of the time to the first output while the endpoint is warm. */
    private var baselineMs: Double? = null

    /** Why the limit was last reset to the cold limit. */
    var coldCause: ColdCause = ColdCause.FIRST_SEEN
        private set

    /** True if the limit has reached the warm limit. */
    val isWarm: Boolean get() = currentLimit >= warmLimit

    /** The current limit: 0 while the circuit breaker is open, 1 while it admits a probe. */
    fun limit(nowMs: Long): Int = when (breaker.state(nowMs)) {
        CircuitBreaker.State.OPEN -> 0
        CircuitBreaker.State.HALF_OPEN -> 1
        CircuitBreaker.State.CLOSED -> minOf(currentLimit.toInt(), report?.limit ?: warmLimit, warmLimit)
    }

    /** Updates the limit from the newest load report. */
    fun onReport(newest: LoadReport, nowMs: Long) {
        val previous = report
        report = newest
        if (previous != null && previous.startedAtMs != newest.startedAtMs) onRestart(nowMs)
        if (!newest.warm) resetToCold(ColdCause.REPORTED, nowMs)
        raiseIfDue(nowMs)
    }

    /** Updates the limit from the results of calls since the previous update. */
    fun onWork(work: ObservedWork, nowMs: Long) {
        if (breaker.onWork(work, nowMs)) resetToCold(ColdCause.FAILED, nowMs)
        if (work.declined > 0) halve(nowMs)
        if (work.completed > 0) compareWithBaseline(work.meanMs, nowMs)
        raiseIfDue(nowMs)
    }

    private fun compareWithBaseline(meanMs: Double, nowMs: Long) {
        val baseline = baselineMs
        when {
            baseline == null -> if (isWarm) baselineMs = meanMs
            meanMs > baseline * settings.coldRatio && isWarm -> resetToCold(ColdCause.SLOW_FIRST_OUTPUT, nowMs)
            isWarm -> baselineMs = baseline + (meanMs - baseline) * BASELINE_WEIGHT
        }
    }

    /** Handles a restart of the process: earlier failures belong to the previous process and are discarded. */
    private fun onRestart(nowMs: Long) {
        breaker.close()
        resetToCold(ColdCause.RESTARTED, nowMs)
    }

    private fun resetToCold(cause: ColdCause, nowMs: Long) {
        coldCause = cause
        currentLimit = coldLimit.toDouble()
        lastChangeAtMs = nowMs
    }

    private fun halve(nowMs: Long) {
        currentLimit = maxOf(coldLimit.toDouble(), currentLimit / 2)
        lastChangeAtMs = nowMs
    }

    private fun raiseIfDue(nowMs: Long) {
        val lastChange = lastChangeAtMs ?: nowMs.also { lastChangeAtMs = it }
        if (nowMs - lastChange < settings.raiseIntervalMs || report?.warm == false) return
        currentLimit = maxOf(currentLimit + 1, currentLimit * settings.raiseFactor).coerceAtMost(warmLimit.toDouble())
        lastChangeAtMs = nowMs
    }

    private companion object {
        /** Weight of a new observation in the moving average of the first-output time. */
        const val BASELINE_WEIGHT = 0.1
    }
}
