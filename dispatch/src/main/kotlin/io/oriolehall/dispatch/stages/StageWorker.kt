package io.oriolehall.dispatch.stages

import io.oriolehall.dispatch.config.PieceLimits
import io.oriolehall.dispatch.endpoints.EndpointHealth
import io.oriolehall.dispatch.endpoints.EndpointRecord

/**
 * What the owner of a stage queue knows of one worker: its running calls, the memory that results take there, and how
 * much slower it is than the service's configuration says. Times are monotonic milliseconds.
 */
class StageWorker(val endpoint: EndpointRecord, private val limits: PieceLimits) {
    private class Held(val bytes: Long, val untilMs: Long)

    private val results = LinkedHashMap<String, Held>()
    private var reservedBytes = 0L
    private val callEnds = mutableListOf<Long>()
    private var noRoomUntilMs = Long.MIN_VALUE

    /** Size of results relative to what the configuration says, at least 1. */
    private var sizeFactor = 1.0

    val health = EndpointHealth()

    /** Time of recent calls relative to what the configuration promises. */
    var slowness = 1.0
        private set

    val calls: Int get() = callEnds.size

    fun isFree(nowMs: Long): Boolean = calls < limits.slots && !health.isExcluded(nowMs) && nowMs >= noRoomUntilMs

    /** When the worker is expected to be free, at least [nowMs]. */
    fun freeAtMs(nowMs: Long): Long = if (calls < limits.slots) nowMs else maxOf(nowMs, callEnds.min())

    fun expectedMs(pieces: Int): Double = (limits.callMs + pieces * limits.pieceMs) * slowness

    /** Bytes for results, in terms of the configured sizes. */
    val totalRoomBytes: Long get() = (limits.resultRoomBytes / sizeFactor).toLong()

    /** Bytes left for results. */
    fun roomBytes(nowMs: Long): Long {
        results.values.removeIf { it.untilMs <= nowMs }
        return totalRoomBytes - reservedBytes - results.values.sumOf(Held::bytes)
    }

    /** Notes the start of a call; the returned value is passed to [ended]. */
    fun began(call: PlannedCall, nowMs: Long): Long {
        val endMs = nowMs + expectedMs(call.pieces.size).toLong()
        callEnds += endMs
        reservedBytes += call.bytes
        return endMs
    }

    /** Notes the end of [call] after [elapsedMs]; null when that says nothing of the worker's speed. */
    fun ended(call: PlannedCall, expectedEndMs: Long, elapsedMs: Long?) {
        callEnds.remove(expectedEndMs)
        reservedBytes -= call.bytes
        if (elapsedMs == null) return
        val promised = limits.callMs + call.pieces.size * limits.pieceMs
        slowness += (elapsedMs / promised - slowness) * SLOWNESS_STEP
        slowness = slowness.coerceIn(MIN_SLOWNESS, MAX_SLOWNESS)
    }

    fun holds(handle: String, bytes: Long, nowMs: Long) {
        results[handle] = Held(bytes, nowMs + limits.resultLifetimeMs)
    }

    fun freed(handle: String) {
        results.remove(handle)
    }

    /**
     * The worker had no room although this owner thought so: results are larger than configured, or another owner's
     * lie there.
     */
    fun lacksRoom(nowMs: Long) {
        noRoomUntilMs = nowMs + ROOM_RETRY_MS
        sizeFactor = minOf(MAX_SIZE_FACTOR, sizeFactor * SIZE_STEP)
    }

    private companion object {
        const val SLOWNESS_STEP = 0.4
        const val MIN_SLOWNESS = 0.5
        const val MAX_SLOWNESS = 20.0

        /** Wait before a worker without room is tried again; results are freed within about a call's time. */
        const val ROOM_RETRY_MS = 250L

        /** Configured sizes are approximate; the estimate grows by this with each piece that finds no room. */
        const val SIZE_STEP = 1.02
        const val MAX_SIZE_FACTOR = 1.2
    }
}

/** Pieces that go to a worker in one call. */
class PlannedCall(val worker: StageWorker, val pieces: List<PieceWork>) {
    val bytes: Long = pieces.sumOf(PieceWork::resultBytes)
}
