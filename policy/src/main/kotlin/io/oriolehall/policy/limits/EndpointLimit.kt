package io.oriolehall.policy.limits

import io.oriolehall.model.LoadReport

/**
 * How many calls at once an endpoint bears, as its owner judges it. A cold endpoint gets its cold limit and then a
 * ramp up to its warm limit. It counts as cold when its owner meets it, when its process has another start time, when
 * its report says so, and when its first outputs take far longer than they used to, which shows before the report.
 */
class EndpointLimit(
    private val coldLimit: Int,
    private val warmLimit: Int,
    private val settings: RampSettings = RampSettings(),
) {
    private val breaker = CircuitBreaker(settings)
    private var level = coldLimit.toDouble()
    private var raisedAtMs: Long? = null
    private var report: LoadReport? = null
    private var usualMs: Double? = null

    /** Why the limit last fell to the cold limit. */
    var coldCause: ColdCause = ColdCause.FIRST_SEEN
        private set

    /** True when the limit is at its height. */
    val isWarm: Boolean get() = level >= warmLimit

    /** The limit now. */
    fun limit(nowMs: Long): Int = when (breaker.state(nowMs)) {
        CircuitBreaker.State.OPEN -> 0
        CircuitBreaker.State.HALF_OPEN -> 1
        CircuitBreaker.State.CLOSED -> minOf(level.toInt(), report?.limit ?: warmLimit, warmLimit)
    }

    /** Takes in the newest report. */
    fun onReport(newest: LoadReport, nowMs: Long) {
        val before = report
        report = newest
        if (before != null && before.startedAtMs != newest.startedAtMs) startAnew(nowMs)
        if (!newest.warm) turnCold(ColdCause.REPORTED, nowMs)
        raise(nowMs)
    }

    /** Takes in how calls ended since the last time. */
    fun onWork(work: ObservedWork, nowMs: Long) {
        if (breaker.onWork(work, nowMs)) turnCold(ColdCause.FAILED, nowMs)
        if (work.declined > 0) lower(nowMs)
        if (work.completed > 0) compare(work.meanMs, nowMs)
        raise(nowMs)
    }

    private fun compare(meanMs: Double, nowMs: Long) {
        val usual = usualMs
        when {
            usual == null -> if (isWarm) usualMs = meanMs
            meanMs > usual * settings.coldRatio && isWarm -> turnCold(ColdCause.SLOW_FIRST_OUTPUT, nowMs)
            isWarm -> usualMs = usual + (meanMs - usual) * USUAL_WEIGHT
        }
    }

    /** The failures were those of the former process. */
    private fun startAnew(nowMs: Long) {
        breaker.close()
        turnCold(ColdCause.RESTARTED, nowMs)
    }

    private fun turnCold(cause: ColdCause, nowMs: Long) {
        coldCause = cause
        level = coldLimit.toDouble()
        raisedAtMs = nowMs
    }

    private fun lower(nowMs: Long) {
        level = maxOf(coldLimit.toDouble(), level / 2)
        raisedAtMs = nowMs
    }

    private fun raise(nowMs: Long) {
        val since = raisedAtMs ?: nowMs.also { raisedAtMs = it }
        if (nowMs - since < settings.stepMs || report?.warm == false) return
        level = maxOf(level + 1, level * settings.growth).coerceAtMost(warmLimit.toDouble())
        raisedAtMs = nowMs
    }

    private companion object {
        /** Weight of a new observation in the usual first-output time. */
        const val USUAL_WEIGHT = 0.1
    }
}
