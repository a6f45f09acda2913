package io.oriolehall.harness.benchmark

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Percentiles of a time, milliseconds. */
@Serializable
data class Percentiles(val p50Ms: Double, val p95Ms: Double, val p99Ms: Double) {
    /** How much each percentile exceeds that of [other]. */
    operator fun minus(other: Percentiles) =
        Percentiles(rounded(p50Ms - other.p50Ms), rounded(p95Ms - other.p95Ms), rounded(p99Ms - other.p99Ms))

    companion object {
        private const val MICROS_PER_MS = 1_000.0
        private const val P50 = 50.0
        private const val P95 = 95.0
        private const val P99 = 99.0

        internal fun of(micros: Histogram) =
            Percentiles(micros.at(P50), micros.at(P95), micros.at(P99))

        private fun Histogram.at(percentile: Double) = getValueAtPercentile(percentile) / MICROS_PER_MS
    }
}

/** What callers saw of one way of calling. */
@Serializable
data class WayResult(
    val whole: Int,
    val failed: Int,
    val firstToken: Percentiles,
    val tokenSpacing: Percentiles,
) {
    companion object {
        internal fun of(result: LoadResult) = WayResult(
            whole = result.whole.get(),
            failed = result.failed.get(),
            firstToken = Percentiles.of(result.firstToken),
            tokenSpacing = Percentiles.of(result.spacing),
        )
    }
}

/**
 * One load, called directly and through the entry instance.
 *
 * @property entryCoreShare processor time of the entry instance per second of load, in cores.
 * @property entryIdleCoreShare the same while nothing is sent.
 */
@Serializable
data class LoadLevelResult(
    val requestsPerSecond: Double,
    val tokensPerSecond: Double,
    val direct: WayResult,
    val entry: WayResult,
    val addedFirstToken: Percentiles,
    val addedTokenSpacing: Percentiles,
    val entryProcessorMsPerRequest: Double,
    val entryCoreShare: Double,
    val entryIdleCoreShare: Double,
    val entryResidentMb: Double,
)

/** The whole run. */
@Serializable
data class OverheadReport(
    val command: String,
    val measuredAt: String,
    val processors: Int,
    val entryHeapMb: Int,
    val secondsPerRound: Int,
    val rounds: Int,
    val levels: List<LoadLevelResult>,
)

private const val DECIMALS = 1_000.0

internal fun rounded(value: Double): Double = Math.round(value * DECIMALS) / DECIMALS
