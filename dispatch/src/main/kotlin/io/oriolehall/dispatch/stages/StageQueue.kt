package io.oriolehall.dispatch.stages

import io.oriolehall.dispatch.config.PieceLimits
import io.oriolehall.model.ZoneId

/**
 * The pieces that wait for the workers of one service, from all instances, and the decision which go next. A call has
 * a large fixed cost, so a worker never gets more than one call at a time and takes as many pieces as fit: under little
 * load a piece starts at once, and under much load calls are full, without a timer.
 *
 * Order: pieces whose inputs take scarce memory at other workers go as they came, late ones too. The others go by due
 * time and priority as long as they can be on time; late ones take what is left. Pieces of one stage of one request
 * stay together, because the first results would take memory while the others wait. Large results are made in the zone
 * where they are fetched unless that takes too long.
 *
 * The load that it answers: many small requests over few workers with a fixed cost a call, with bursts above what full
 * calls can bear. Pure: no clock, no I/O. Times are monotonic milliseconds.
 */
class StageQueue(private val limits: PieceLimits) {
    private val waiting = mutableListOf<PieceWork>()
    private var recentMs = 0.0
    private var recentAtMs = 0L

    val size: Int get() = waiting.size

    fun add(pieces: Collection<PieceWork>) {
        waiting += pieces
    }

    /** Removes the pieces of [requestId]: its caller has left. */
    fun cancel(requestId: String): List<PieceWork> {
        val removed = waiting.filter { it.requestId == requestId }
        waiting.removeAll(removed)
        return removed
    }

    /** Removes and returns the pieces whose request can no longer be served, even if they started now. */
    fun removeHopeless(nowMs: Long): List<PieceWork> {
        val removed = waiting.filter { it.deadlineAtMs < nowMs + limits.callMs }
        waiting.removeAll(removed)
        return removed
    }

    /** The next call for one of [workers], or null when none is free or nothing waits. */
    fun next(workers: Collection<StageWorker>, nowMs: Long): PlannedCall? {
        if (waiting.isEmpty()) return null
        val fastest = workers.minOfOrNull(StageWorker::slowness) ?: return null
        val free = workers.filter { it.isFree(nowMs) }.sortedBy(StageWorker::slowness)
        for (worker in free) {
            if (worker.slowness > fastest * SLOW_FACTOR && !isBacklogged(workers)) continue
            val pieces = choose(worker, workers, nowMs)
            if (pieces.isEmpty()) continue
            waiting.removeAll(pieces.toSet())
            return PlannedCall(worker, pieces)
        }
        return null
    }

    /** Time until a group of [pieces] that arrives now would be done, milliseconds; infinite without workers. */
    fun estimateMs(workers: Collection<StageWorker>, pieces: Int, nowMs: Long): Double {
        val usable = workers.filter { !it.health.isExcluded(nowMs) }
        if (usable.isEmpty()) return Double.POSITIVE_INFINITY
        val perMs = usable.sumOf { limits.batch * limits.slots / it.expectedMs(limits.batch) }
        val untilFreeMs = usable.minOf { it.freeAtMs(nowMs) } - nowMs
        val ahead = waiting.size
        val batchesMs =
            if (ahead + pieces <= limits.batch) 0.0 else (ahead + pieces - limits.batch) / (perMs * USUAL_FILL)
        return untilFreeMs + batchesMs + usable.minOf { it.expectedMs(minOf(limits.batch, ahead + pieces)) }
    }

    /** Notes that a group has taken [tookMs] from its arrival to its last result. */
    fun completed(tookMs: Long, nowMs: Long) {
        recentMs =
            if (nowMs - recentAtMs > RECENT_MS) tookMs.toDouble() else recentMs + (tookMs - recentMs) * RECENT_STEP
        recentAtMs = nowMs
    }

    /**
     * Time that a group would take now, milliseconds: the highest of the estimate, of what groups took lately, and of
     * what the oldest waiting piece has taken already where memory for results holds it up.
     */
    fun expectedMs(workers: Collection<StageWorker>, nowMs: Long): Double {
        val oldestMs = waiting.minOfOrNull(PieceWork::arrivedAtMs)?.let { nowMs - it } ?: 0
        val callMs = limits.callMs + limits.batch * limits.pieceMs
        val seenMs = if (nowMs - recentAtMs <= RECENT_MS) recentMs else 0.0
        return maxOf(estimateMs(workers, 1, nowMs), seenMs, if (oldestMs > 0) oldestMs + callMs else 0.0)
    }

    private fun isBacklogged(workers: Collection<StageWorker>): Boolean = waiting.size > limits.batch * workers.size

    private fun choose(worker: StageWorker, workers: Collection<StageWorker>, nowMs: Long): List<PieceWork> {
        val doneAtMs = nowMs + worker.expectedMs(limits.batch)
        val order = compareBy<PieceWork>(
            { isLate(it, doneAtMs) },
            { virtualDueMs(it) + foreignMs(it, worker) },
            PieceWork::group,
        )
        val zones = workers.mapTo(HashSet()) { it.endpoint.zone }
        val eligible = waiting.filter { mayRunIn(worker.endpoint.zone, it, zones, nowMs) }
        val chosen = mutableListOf<PieceWork>()
        var roomBytes = worker.roomBytes(nowMs)
        for ((_, group) in eligible.sortedWith(order).groupBy(PieceWork::group)) {
            val left = limits.batch - chosen.size
            if (left == 0) break
            val bytes = maxOf(1, group.first().resultBytes)
            val fitting = minOf(left.toLong(), roomBytes / bytes).toInt()
            if (group.size > fitting && (mayWait(group, bytes, worker) || chosen.size * 2 >= limits.batch)) continue
            chosen += group.take(fitting)
            roomBytes -= minOf(fitting, group.size) * bytes
        }
        return chosen
    }

    /** True when all pieces of [group] fit into a later call of [worker] together. */
    private fun mayWait(group: List<PieceWork>, bytes: Long, worker: StageWorker): Boolean =
        group.size <= limits.batch && group.size * bytes <= worker.totalRoomBytes

    private fun isLate(piece: PieceWork, doneAtMs: Double): Boolean =
        !piece.holdsMemory && piece.objectiveAtMs < doneAtMs

    private fun virtualDueMs(piece: PieceWork): Long =
        if (piece.holdsMemory) piece.arrivedAtMs else piece.objectiveAtMs + piece.priority * PRIORITY_STEP_MS

    /** Among pieces of about one age, a worker takes those first that belong to its zone. */
    private fun foreignMs(piece: PieceWork, worker: StageWorker): Long {
        val preferred = piece.preferredZone ?: return 0
        return if (preferred == worker.endpoint.zone) 0 else FOREIGN_MS
    }

    /** A piece waits a little for a worker of the zone where its result is fetched. */
    private fun mayRunIn(zone: ZoneId, piece: PieceWork, zones: Set<ZoneId>, nowMs: Long): Boolean {
        val preferred = piece.preferredZone ?: return true
        if (preferred == zone || preferred !in zones) return true
        val spareMs = piece.objectiveAtMs - nowMs - limits.callMs - limits.batch * limits.pieceMs
        return nowMs - piece.arrivedAtMs >= minOf(ZONE_PATIENCE_MS, spareMs.toLong() / 2)
    }

    private companion object {
        /** Part of a call that is filled under a backlog: groups stay whole, and memory for results runs short. */
        const val USUAL_FILL = 0.75

        /** A worker this many times slower than the fastest gets work only when there is a backlog. */
        const val SLOW_FACTOR = 2.5

        /** Time by which a rank of priority moves a piece's due time, milliseconds: about one call. */
        const val PRIORITY_STEP_MS = 400L

        /** Groups that ended longer ago than this say nothing about now, milliseconds: about two calls. */
        const val RECENT_MS = 1_000L
        const val RECENT_STEP = 0.15

        /** Longest wait for a worker of the preferred zone, milliseconds: about half a call. */
        const val ZONE_PATIENCE_MS = 200L

        /** A piece of another zone goes as if it had come this much later, milliseconds: about one call. */
        const val FOREIGN_MS = 350L
    }
}
