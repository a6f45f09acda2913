package io.oriolehall.dispatch.stages

import io.oriolehall.dispatch.config.PieceLimits
import io.oriolehall.dispatch.endpoints.EndpointHealth
import io.oriolehall.dispatch.endpoints.EndpointLoad
import io.oriolehall.dispatch.endpoints.EndpointRecord
import kotlin.math.abs

/**
 * The state of one worker as tracked by the owner of a stage queue: its running calls, the memory that results occupy
 * there, and its speed relative to the configuration of the service. Times are monotonic milliseconds.
 *
 * @param load what the worker reports of its load.
 */
class StageWorker(
    val endpoint: EndpointRecord,
    private val limits: PieceLimits,
    private val load: EndpointLoad = EndpointLoad(),
) {
    private class StoredResult(val bytes: Long, val expiresAtMs: Long)

    private val results = LinkedHashMap<String, StoredResult>()
    private var reservedBytes = 0L
    private val expectedCallEndsMs = mutableListOf<Long>()
    private var noMemoryUntilMs = Long.MIN_VALUE
    private val reportedSpeed = ReportedSpeed(load)
    private val predictions = HashMap<PlannedCall, ReportedSpeed.Prediction>()
    private var coldUntilMs: Long? = null
    private var measured = false

    /** Estimated size of results relative to the configured size, at least 1. */
    private var sizeFactor = 1.0

    val health = EndpointHealth()

    /** Moving average of the time of calls relative to the configured time. */
    var slowness = 1.0
        private set

    val runningCalls: Int get() = expectedCallEndsMs.size

    fun isFree(nowMs: Long): Boolean =
        runningCalls < limits.slots && !health.isExcluded(nowMs) && nowMs >= noMemoryUntilMs

    /** When the worker is expected to have a free slot, at least [nowMs]. */
    fun freeAtMs(nowMs: Long): Long = if (runningCalls < limits.slots) nowMs else maxOf(nowMs, expectedCallEndsMs.min())

    /** Expected duration of a call at the learned speed. */
    fun expectedMs(pieces: Int): Double = configuredMs(pieces) * slowness

    /** Expected duration of a call that starts at [nowMs], at the current speed if the worker reports it. */
    fun expectedMs(pieces: Int, nowMs: Long): Double =
        if (reportsSpeed) configuredMs(pieces) * reportedSpeed.slowness(nowMs) else expectedMs(pieces)

    /** True while the worker reports how long work currently takes there. */
    val reportsSpeed: Boolean get() = load.reportsTimeFactor

    /**
     * Expected time from [nowMs] until a call with [pieces] pieces that is given to this worker ends: the rest of the
     * calls of this owner, the reported tasks of others, and the call itself at the current speed.
     */
    fun completionMs(pieces: Int, nowMs: Long): Double {
        val callMs = expectedMs(pieces, nowMs) * coldFactor(nowMs)
        return untilFreeMs(nowMs) + othersMs(callMs, nowMs) + callMs
    }

    /**
     * Time until this owner's calls leave a free slot. A call that is overdue is expected to take as long again as it
     * is overdue, because a worker that has stopped would otherwise seem about to be free indefinitely.
     */
    private fun untilFreeMs(nowMs: Long): Double {
        if (runningCalls < limits.slots) return 0.0
        return expectedCallEndsMs.minOf { abs(it - nowMs) }.toDouble()
    }

    /** Reported tasks of others count only where the speed is reported, so that other workers are used as before. */
    private fun othersMs(callMs: Double, nowMs: Long): Double = if (reportsSpeed) load.othersMs(callMs, nowMs) else 0.0

    /** A cold worker is expected to be slower until the first call has been measured. */
    private fun coldFactor(nowMs: Long): Double {
        val untilMs = coldUntilMs ?: (nowMs + endpoint.coldRemainingMs).also { coldUntilMs = it }
        return if (!measured && nowMs < untilMs) COLD_FACTOR else 1.0
    }

    private fun configuredMs(pieces: Int): Double = limits.callMs + pieces * limits.pieceMs

    /** Memory for results, reduced by [sizeFactor] for comparison with configured result sizes, bytes. */
    val resultCapacityBytes: Long get() = (limits.resultMemoryBytes / sizeFactor).toLong()

    /** Part of [resultCapacityBytes] that is neither occupied nor reserved by running calls, bytes. */
    fun freeResultBytes(nowMs: Long): Long {
        results.values.removeIf { it.expiresAtMs <= nowMs }
        return resultCapacityBytes - reservedBytes - results.values.sumOf(StoredResult::bytes)
    }

    /** Records the start of [call] and returns its expected end, which has to be passed to [onCallEnded]. */
    fun onCallStarted(call: PlannedCall, nowMs: Long): Long {
        val durationMs = expectedMs(call.pieces.size, nowMs)
        val othersMs = othersMs(durationMs, nowMs)
        val endMs = nowMs + (othersMs + durationMs).toLong()
        expectedCallEndsMs += endMs
        reservedBytes += call.bytes
        predictions[call] = reportedSpeed.predict(othersMs, nowMs)
        load.onTaskStarted()
        return endMs
    }

    /** Records the end of [call] after [elapsedMs], which is null when it does not reflect the worker's speed. */
    fun onCallEnded(call: PlannedCall, expectedEndMs: Long, elapsedMs: Long?) {
        expectedCallEndsMs.remove(expectedEndMs)
        reservedBytes -= call.bytes
        load.onTaskEnded()
        val prediction = predictions.remove(call)
        if (elapsedMs == null) return
        val configuredMs = configuredMs(call.pieces.size)
        measured = true
        if (prediction != null) reportedSpeed.onCallEnded(prediction, elapsedMs, configuredMs)
        slowness += (elapsedMs / configuredMs - slowness) * SLOWNESS_SMOOTHING
        slowness = slowness.coerceIn(MIN_SLOWNESS, MAX_SLOWNESS)
    }

    fun onResultStored(handle: String, bytes: Long, nowMs: Long) {
        results[handle] = StoredResult(bytes, nowMs + limits.resultLifetimeMs)
    }

    fun onResultFreed(handle: String) {
        results.remove(handle)
    }

    /**
     * Records that the worker had no memory for a result although this owner expected it to: results are larger than
     * configured, or the worker also stores results of another owner.
     */
    fun onMemoryExhausted(nowMs: Long) {
        noMemoryUntilMs = nowMs + MEMORY_RETRY_MS
        sizeFactor = minOf(MAX_SIZE_FACTOR, sizeFactor * SIZE_GROWTH_FACTOR)
    }

    private companion object {
        const val SLOWNESS_SMOOTHING = 0.4
        const val MIN_SLOWNESS = 0.5
        const val MAX_SLOWNESS = 20.0

        /** Expected slowness of a cold worker before its first call. */
        const val COLD_FACTOR = 1.5

        /** Delay before a worker without memory is tried again; results are freed within about the time of a call. */
        const val MEMORY_RETRY_MS = 250L

        /** Configured sizes are approximate; [sizeFactor] grows by this factor for each piece that lacks memory. */
        const val SIZE_GROWTH_FACTOR = 1.02
        const val MAX_SIZE_FACTOR = 1.2
    }
}

/** How the worker of a call was chosen. */
enum class WorkerChoice {
    /** By the speed learned from earlier calls. */
    LEARNED_SPEED,

    /** By the expected time to completion, from the load that workers report. */
    COMPLETION,
}

/** Pieces that are sent to a worker in one call. */
class PlannedCall(
    val worker: StageWorker,
    val pieces: List<PieceWork>,
    val choice: WorkerChoice = WorkerChoice.LEARNED_SPEED,
) {
    val bytes: Long = pieces.sumOf(PieceWork::resultBytes)
}
