package io.oriolehall.policy.admission

import java.util.concurrent.ConcurrentHashMap
import kotlin.math.abs
import kotlin.math.pow

/**
 * Estimates the duration of stages from observed runs. An estimate starts at the stage's declared duration and decays
 * back to it while no runs are observed. Otherwise a few slow runs could cause all later requests to be refused, and
 * the recovery of the stage would never be observed. Thread-safe.
 */
class StageDurationEstimator<K : Any> {
    private class Estimate(val meanMs: Double, val deviationMs: Double, val atMs: Long)

    private val estimates = ConcurrentHashMap<K, Estimate>()

    /** Records that a run of [stage], whose declared duration is [declaredMs], took [tookMs] milliseconds. */
    fun observe(stage: K, tookMs: Double, declaredMs: Double, nowMs: Long) {
        estimates.compute(stage) { _, _ ->
            val meanMs = meanMs(stage, declaredMs, nowMs)
            val deviationMs = boundMs(stage, declaredMs, nowMs).minus(meanMs) / BOUND_DEVIATIONS
            val error = tookMs - meanMs
            Estimate(meanMs + error * SAMPLE_WEIGHT, deviationMs + (abs(error) - deviationMs) * SAMPLE_WEIGHT, nowMs)
        }
    }

    /** Estimated mean duration of [stage], milliseconds. */
    fun meanMs(stage: K, declaredMs: Double, nowMs: Long): Double {
        val estimate = estimates[stage] ?: return declaredMs
        return declaredMs + (estimate.meanMs - declaredMs) * estimate.decay(nowMs)
    }

    /** Duration that most runs of [stage] do not exceed, milliseconds. */
    fun boundMs(stage: K, declaredMs: Double, nowMs: Long): Double {
        val estimate = estimates[stage] ?: return declaredMs
        return meanMs(stage, declaredMs, nowMs) + BOUND_DEVIATIONS * estimate.deviationMs * estimate.decay(nowMs)
    }

    /** Weight of the estimate against the declared duration; it halves every [HALF_LIFE_MS]. */
    private fun Estimate.decay(nowMs: Long): Double = 0.5.pow((nowMs - atMs).toDouble() / HALF_LIFE_MS)

    private companion object {
        /** Weight of a new observation in the moving averages. */
        const val SAMPLE_WEIGHT = 0.1

        /** Number of mean absolute deviations between the mean and the bound. */
        const val BOUND_DEVIATIONS = 2.0
        const val HALF_LIFE_MS = 2_000.0
    }
}
