package io.oriolehall.dispatch.stages

import io.oriolehall.dispatch.endpoints.EndpointLoad
import kotlin.math.exp
import kotlin.math.ln

/**
 * Current slowness of a stage worker that reports its time factor. Learns the slowness at a factor of 1 and the extent
 * to which past factors predicted the durations of calls. A factor that is wrong, or that changes before a call
 * ends, predicts little, and the learned slowness remains.
 *
 * Times are monotonic milliseconds. Not thread-safe.
 */
internal class ReportedSpeed(private val load: EndpointLoad) {
    /**
     * Prediction for a call when it started.
     *
     * @property usualSlowness slowness learned from earlier calls.
     * @property deviation logarithm of the reported slowness relative to [usualSlowness], weighted by the age of the
     *   report.
     * @property othersMs expected wait for the tasks of others, milliseconds.
     */
    class Prediction(val usualSlowness: Double, val deviation: Double, val timeFactor: Double?, val othersMs: Double)

    private var samples = 0
    private var slownessAtFactor1 = 1.0
    private var usualSlowness = 1.0
    private var covariance = 0.0
    private var variance = 0.0

    /** Share of the reported deviation from the learned slowness that calls have confirmed, 0 to 1. */
    private val trust: Double
        get() = ((covariance + PRIOR_VARIANCE) / (variance + PRIOR_VARIANCE)).coerceIn(0.0, 1.0)

    /** Expected slowness of a call that starts at [nowMs]. */
    fun slowness(nowMs: Long): Double = usualSlowness * exp(trust * deviation(nowMs))

    fun predict(othersMs: Double, nowMs: Long) =
        Prediction(usualSlowness, deviation(nowMs), load.timeFactor, othersMs)

    private fun deviation(nowMs: Long): Double {
        val factor = load.timeFactor ?: return 0.0
        return load.timeFactorWeight(nowMs) * ln(slownessAtFactor1 * factor / usualSlowness)
    }

    /** Records that the call of [prediction] took [elapsedMs], where the configuration states [configuredMs]. */
    fun onCallEnded(prediction: Prediction, elapsedMs: Long, configuredMs: Double) {
        val endFactor = load.timeFactor ?: return
        val ranMs = maxOf(elapsedMs - prediction.othersMs, elapsedMs * MIN_RUN_SHARE, 1.0)
        val measured = ranMs / configuredMs
        val meanFactor = ((prediction.timeFactor ?: endFactor) + endFactor) / 2
        samples++
        val smoothing = maxOf(SMOOTHING, 1.0 / samples)
        slownessAtFactor1 += (measured / meanFactor - slownessAtFactor1) * smoothing
        if (samples == 1) usualSlowness = slownessAtFactor1
        usualSlowness += (measured - usualSlowness) * maxOf(SMOOTHING, 1.0 / (samples + 1))
        covariance = covariance * MEMORY + prediction.deviation * ln(measured / prediction.usualSlowness)
        variance = variance * MEMORY + prediction.deviation * prediction.deviation
    }

    private companion object {
        /** Weight of the last call in the learned figures; the time factor covers what changes faster. */
        const val SMOOTHING = 0.1

        /** Weight of the earlier calls after each call; about the last 20 calls count. */
        const val MEMORY = 0.95

        /** Factors are trusted at first, as much as one call with a deviation of a third would show. */
        const val PRIOR_VARIANCE = 0.1

        /** Part of a call's duration that counts as its own run even if more work of others was expected. */
        const val MIN_RUN_SHARE = 0.5
    }
}
