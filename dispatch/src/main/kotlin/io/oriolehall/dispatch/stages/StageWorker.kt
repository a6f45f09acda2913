package io.oriolehall.dispatch.stages

import io.oriolehall.dispatch.config.PieceLimits
import io.oriolehall.dispatch.endpoints.EndpointHealth
import io.oriolehall.dispatch.endpoints.EndpointRecord

/**
 * The state of one worker as tracked by the owner of a stage queue: its running calls, the memory that results occupy
 * there, and its speed relative to the configuration of the service. Times are monotonic milliseconds.
 */
class StageWorker(val endpoint: EndpointRecord, private val limits: PieceLimits) {
    private class StoredResult(val bytes: Long, val expiresAtMs: Long)

    private val results = LinkedHashMap<String, StoredResult>()
    private var reservedBytes = 0L
    private val expectedCallEndsMs = mutableListOf<Long>()
    private var noMemoryUntilMs = Long.MIN_VALUE

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

    fun expectedMs(pieces: Int): Double = (limits.callMs + pieces * limits.pieceMs) * slowness

    /** Memory for results, reduced by [sizeFactor] for comparison with configured result sizes, bytes. */
    val resultCapacityBytes: Long get() = (limits.resultMemoryBytes / sizeFactor).toLong()

    /** Part of [resultCapacityBytes] that is neither occupied nor reserved by running calls, bytes. */
    fun freeResultBytes(nowMs: Long): Long {
        results.values.removeIf { it.expiresAtMs <= nowMs }
        return resultCapacityBytes - reservedBytes - results.values.sumOf(StoredResult::bytes)
    }

    /** Records the start of [call] and returns its expected end, which has to be passed to [onCallEnded]. */
    fun onCallStarted(call: PlannedCall, nowMs: Long): Long {
        val endMs = nowMs + expectedMs(call.pieces.size).toLong()
        expectedCallEndsMs += endMs
        reservedBytes += call.bytes
        return endMs
    }

    /** Records the end of [call] after [elapsedMs], which is null when it does not reflect the worker's speed. */
    fun onCallEnded(call: PlannedCall, expectedEndMs: Long, elapsedMs: Long?) {
        expectedCallEndsMs.remove(expectedEndMs)
        reservedBytes -= call.bytes
        if (elapsedMs == null) return
        val configuredMs = limits.callMs + call.pieces.size * limits.pieceMs
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

        /** Delay before a worker without memory is tried again; results are freed within about the time of a call. */
        const val MEMORY_RETRY_MS = 250L

        /** Configured sizes are approximate; [sizeFactor] grows by this factor for each piece that lacks memory. */
        const val SIZE_GROWTH_FACTOR = 1.02
        const val MAX_SIZE_FACTOR = 1.2
    }
}

/** Pieces that are sent to a worker in one call. */
class PlannedCall(val worker: StageWorker, val pieces: List<PieceWork>) {
    val bytes: Long = pieces.sumOf(PieceWork::resultBytes)
}
