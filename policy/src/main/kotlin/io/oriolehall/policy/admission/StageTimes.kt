package io.oriolehall.policy.admission

import java.util.concurrent.ConcurrentHashMap
import kotlin.math.abs
import kotlin.math.pow

/**
 * Times that stages were seen to take, as an estimate for the next one. An estimate starts from the stage's declared
 * time and goes back to it while nothing is observed, so that a few slow runs cannot refuse every later request and
 * with it every chance to observe that the stage has recovered. Safe for use by several threads.
 */
class StageTimes<K : Any> {
    private class Estimate(val meanMs: Double, val deviationMs: Double, val atMs: Long)

    private val estimates = ConcurrentHashMap<K, Estimate>()

    /** Takes in that a run of [stage], declared to take [declaredMs], took [ms] milliseconds. */
    fun observe(stage: K, ms: Double, declaredMs: Double, nowMs: Long) {
        estimates.compute(stage) { _, _ ->
            val meanMs = meanMs(stage, declaredMs, nowMs)
            val deviationMs = boundMs(stage, declaredMs, nowMs).minus(meanMs) / DEVIATIONS
            val error = ms - meanMs
            Estimate(meanMs + error * WEIGHT, deviationMs + (abs(error) - deviationMs) * WEIGHT, nowMs)
        }
    }

    /** Mean time of [stage], milliseconds. */
    fun meanMs(stage: K, declaredMs: Double, nowMs: Long): Double {
        val estimate = estimates[stage] ?: return declaredMs
        return declaredMs + (estimate.meanMs - declaredMs) * estimate.weight(nowMs)
    }

    /** Time within which most runs of [stage] end, milliseconds. */
    fun boundMs(stage: K, declaredMs: Double, nowMs: Long): Double {
        val estimate = estimates[stage] ?: return declaredMs
        return meanMs(stage, declaredMs, nowMs) + DEVIATIONS * estimate.deviationMs * estimate.weight(nowMs)
    }

    private fun Estimate.weight(nowMs: Long): Double = 0.5.pow((nowMs - atMs).toDouble() / HALF_LIFE_MS)

    private companion object {
        const val WEIGHT = 0.1
        const val DEVIATIONS = 2.0
        const val HALF_LIFE_MS = 2_000.0
    }
}
