package io.oriolehall.policy.admission

import java.util.concurrent.ConcurrentHashMap

/** Times that stages were seen to take, as an estimate for the next one. Safe for use by several threads. */
class StageTimes<K : Any> {
    private class Estimate(val meanMs: Double, val deviationMs: Double)

    private val estimates = ConcurrentHashMap<K, Estimate>()

    /** Takes in that a run of [stage] took [ms] milliseconds. */
    fun observe(stage: K, ms: Double) {
        estimates.merge(stage, Estimate(ms, ms / 2)) { old, _ ->
            val error = ms - old.meanMs
            Estimate(old.meanMs + error * WEIGHT, old.deviationMs + (Math.abs(error) - old.deviationMs) * WEIGHT)
        }
    }

    /** Mean time of [stage], milliseconds; [initialMs] before the first run. */
    fun meanMs(stage: K, initialMs: Double): Double = estimates[stage]?.meanMs ?: initialMs

    /** Time within which most runs of [stage] end, milliseconds. */
    fun boundMs(stage: K, initialMs: Double): Double =
        estimates[stage]?.let { it.meanMs + DEVIATIONS * it.deviationMs } ?: initialMs

    private companion object {
        const val WEIGHT = 0.05
        const val DEVIATIONS = 2.0
    }
}
