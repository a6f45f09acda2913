package io.oriolehall.dispatch.stages

import io.oriolehall.dispatch.config.PieceLimits
import io.oriolehall.model.ZoneId
import kotlin.random.Random

/**
 * Queue of the pieces of all instances for the workers of one service; it plans the calls to the workers. A call has a
 * large fixed cost, so a worker never has more calls than it has slots, and each call takes as many pieces as fit.
 * Under low load a piece starts immediately, and under high load calls are full, without a batching timer.
 *
 * Order: pieces whose inputs occupy scarce memory at other workers are served in order of arrival, even when late.
 * Other pieces are served by due time and priority while they can be on time; late ones use the remaining capacity. The
 * pieces of one stage of one request, a group, stay together, because the first results would occupy memory while the
 * others wait. Large results are computed in the zone from which they are fetched, unless that takes too long.
 *
 * Workers are chosen by the speed learned from earlier calls, or by their expected time to completion if any of them
 * reports its current speed.
 *
 * Designed for many small requests on few workers with a fixed cost per call, and for bursts beyond what the workers
 * can handle with full calls. It uses no clock and no I/O. Times are monotonic milliseconds.
 *
 * @param random chooses among workers that are expected to complete a call at about the same time.
 */
class StageQueue(private val limits: PieceLimits, private val random: Random = Random.Default) {
    private val waiting = mutableListOf<PieceWork>()

    /** Moving average of the time that groups took. */
    private var meanGroupMs = 0.0
    private var lastEndAtMs = 0L

    val size: Int get() = waiting.size

    fun add(pieces: Collection<PieceWork>) {
        waiting += pieces
    }

    /** Removes and returns the pieces of [requestId], whose caller has disconnected. */
    fun cancel(requestId: String): List<PieceWork> {
        val removed = waiting.filter { it.requestId == requestId }
        waiting.removeAll(removed)
        return removed
    }

    /** Removes and returns the pieces that cannot meet their deadline even if they start now. */
    fun removeUnservable(nowMs: Long): List<PieceWork> {
        val removed = waiting.filter { it.deadlineAtMs < nowMs + limits.callMs }
        waiting.removeAll(removed)
        return removed
    }

    /** Plans the next call for one of [workers]; null when no worker is suitable or no piece may run now. */
    fun next(workers: Collection<StageWorker>, nowMs: Long): PlannedCall? {
        if (waiting.isEmpty()) return null
        return if (workers.any(StageWorker::reportsSpeed)) {
            nextByCompletion(workers, nowMs)
        } else {
            nextByLearnedSpeed(workers, nowMs)
        }
    }

    /**
     * Plans a call at the free worker that is expected to complete it first. The pieces wait for a busy worker if
     * enough busy ones would complete what waits clearly earlier. Owners that read the same old reports would all
     * choose the same worker, so the choice among nearly equal workers is random.
     */
    private fun nextByCompletion(workers: Collection<StageWorker>, nowMs: Long): PlannedCall? {
        val (free, others) = workers.partition { it.isFree(nowMs) }
        val busy = others.filter { it.runningCalls > 0 && !it.health.isExcluded(nowMs) }
        val callPieces = minOf(waiting.size, limits.batch)
        val preferredZones = waiting.mapNotNull(PieceWork::preferredZone).groupingBy { it }.eachCount()
        val completionsMs = free.associateWith {
            val remote = preferredZones.values.sum() - (preferredZones[it.endpoint.zone] ?: 0)
            val transferMs = CROSS_ZONE_MS * remote / waiting.size
            (it.completionMs(callPieces, nowMs) + transferMs) * randomFactor()
        }
        val neededCalls = (waiting.size + limits.batch - 1) / limits.batch
        for (worker in free.sortedBy(completionsMs::getValue)) {
            val pieces = choosePieces(worker, workers, nowMs)
            if (pieces.isEmpty()) continue
            val completionMs = completionMs(worker, pieces, nowMs)
            val earlier = busy.count { completionMs(it, pieces, nowMs) * WAIT_FACTOR < completionMs }
            if (earlier >= neededCalls) continue
            waiting.removeAll(pieces.toSet())
            return PlannedCall(worker, pieces, WorkerChoice.COMPLETION)
        }
        return null
    }

    private fun randomFactor(): Double = 1 + random.nextDouble() * CHOICE_SPREAD

    /** Time until [worker] completes [pieces], including the transfer of inputs or results between zones. */
    private fun completionMs(worker: StageWorker, pieces: List<PieceWork>, nowMs: Long): Double {
        val remote = pieces.count { it.preferredZone != null && it.preferredZone != worker.endpoint.zone }
        return worker.completionMs(pieces.size, nowMs) + if (remote * 2 > pieces.size) CROSS_ZONE_MS else 0.0
    }

    private fun nextByLearnedSpeed(workers: Collection<StageWorker>, nowMs: Long): PlannedCall? {
        val fastest = workers.minOfOrNull(StageWorker::slowness) ?: return null
        val freeWorkers = workers.filter { it.isFree(nowMs) }.sortedBy(StageWorker::slowness)
        for (worker in freeWorkers) {
            if (worker.slowness > fastest * SLOW_FACTOR && !isBacklogged(workers)) continue
            val pieces = choosePieces(worker, workers, nowMs)
            if (pieces.isEmpty()) continue
            waiting.removeAll(pieces.toSet())
            return PlannedCall(worker, pieces)
        }
        return null
    }

    /**
     * Time until a group of [pieces] that arrives now would complete, milliseconds; infinite without workers. Computed
     * from the queue and the speed of the workers alone; [expectedMs] also covers observed delays. While all workers
     * are excluded, the time until the first of them is tried again is added.
     */
    fun estimateMs(workers: Collection<StageWorker>, pieces: Int, nowMs: Long): Double {
        if (workers.isEmpty()) return Double.POSITIVE_INFINITY
        val usable = workers.filter { !it.health.isExcluded(nowMs) }
        if (usable.isNotEmpty()) return usableEstimateMs(usable, pieces, nowMs)
        val untilTriedMs = workers.minOf { it.health.excludedUntilMs } - nowMs
        return untilTriedMs + usableEstimateMs(workers, pieces, nowMs)
    }

    private fun usableEstimateMs(usable: Collection<StageWorker>, pieces: Int, nowMs: Long): Double {
        val piecesPerMs = usable.sumOf { limits.batch * limits.slots / it.expectedMs(limits.batch) }
        val untilFreeMs = usable.minOf { it.freeAtMs(nowMs) } - nowMs
        val queued = waiting.size
        val queuedMs =
            if (queued + pieces <= limits.batch) 0.0 else (queued + pieces - limits.batch) / (piecesPerMs * FILL_SHARE)
        return untilFreeMs + queuedMs + usable.minOf { it.expectedMs(minOf(limits.batch, queued + pieces)) }
    }

    /** Records that a group took [tookMs] from its arrival to its last result. */
    fun onGroupCompleted(tookMs: Long, nowMs: Long) {
        meanGroupMs =
            if (nowMs - lastEndAtMs > RECENT_MS) tookMs.toDouble() else meanGroupMs + (tookMs - meanGroupMs) * SMOOTHING
        lastEndAtMs = nowMs
    }

    /**
     * Time that a group would currently take, milliseconds: the maximum of the estimate, the time that recent groups
     * took, and the age of the oldest waiting piece plus one full call. The age covers pieces that are blocked by a
     * lack of memory for results.
     */
    fun expectedMs(workers: Collection<StageWorker>, nowMs: Long): Double {
        val oldestAgeMs = waiting.minOfOrNull(PieceWork::arrivedAtMs)?.let { nowMs - it } ?: 0
        val fullCallMs = limits.callMs + limits.batch * limits.pieceMs
        val observedMs = if (nowMs - lastEndAtMs <= RECENT_MS) meanGroupMs else 0.0
        return maxOf(estimateMs(workers, 1, nowMs), observedMs, if (oldestAgeMs > 0) oldestAgeMs + fullCallMs else 0.0)
    }

    private fun isBacklogged(workers: Collection<StageWorker>): Boolean = waiting.size > limits.batch * workers.size

    private fun choosePieces(worker: StageWorker, workers: Collection<StageWorker>, nowMs: Long): List<PieceWork> {
        val doneAtMs = nowMs + worker.expectedMs(limits.batch, nowMs)
        val order = compareBy<PieceWork>(
            { isLate(it, doneAtMs) },
            { virtualDueMs(it) + crossZonePenaltyMs(it, worker) },
            PieceWork::group,
        )
        val zones = workers.mapTo(HashSet()) { it.endpoint.zone }
        val eligible = waiting.filter { mayRunIn(worker.endpoint.zone, it, zones, nowMs) }
        val chosen = mutableListOf<PieceWork>()
        var freeBytes = worker.freeResultBytes(nowMs)
        for ((_, group) in eligible.sortedWith(order).groupBy(PieceWork::group)) {
            val remaining = limits.batch - chosen.size
            if (remaining == 0) break
            val bytes = maxOf(1, group.first().resultBytes)
            val fitting = minOf(remaining.toLong(), freeBytes / bytes).toInt()
            // A group is split only if no later call can hold all of it and this call is less than half full.
            if (group.size > fitting && (fitsLater(group, bytes, worker) || chosen.size * 2 >= limits.batch)) continue
            chosen += group.take(fitting)
            freeBytes -= minOf(fitting, group.size) * bytes
        }
        return chosen
    }

    /** True when all pieces of [group] together can fit into a later call of [worker]. */
    private fun fitsLater(group: List<PieceWork>, bytes: Long, worker: StageWorker): Boolean =
        group.size <= limits.batch && group.size * bytes <= worker.resultCapacityBytes

    private fun isLate(piece: PieceWork, doneAtMs: Double): Boolean =
        !piece.inputsHoldMemory && piece.objectiveAtMs < doneAtMs

    private fun virtualDueMs(piece: PieceWork): Long =
        if (piece.inputsHoldMemory) piece.arrivedAtMs else piece.objectiveAtMs + piece.priority * PRIORITY_STEP_MS

    /** Makes a worker prefer pieces of its own zone among those with similar due times. */
    private fun crossZonePenaltyMs(piece: PieceWork, worker: StageWorker): Long {
        val preferred = piece.preferredZone ?: return 0
        return if (preferred == worker.endpoint.zone) 0 else CROSS_ZONE_PENALTY_MS
    }

    /** True unless [piece] should still wait for a worker in its preferred zone. */
    private fun mayRunIn(zone: ZoneId, piece: PieceWork, zones: Set<ZoneId>, nowMs: Long): Boolean {
        val preferred = piece.preferredZone ?: return true
        if (preferred == zone || preferred !in zones) return true
        val slackMs = piece.objectiveAtMs - nowMs - limits.callMs - limits.batch * limits.pieceMs
        return nowMs - piece.arrivedAtMs >= minOf(MAX_ZONE_WAIT_MS, slackMs.toLong() / 2)
    }

    private companion object {
        /**
         * Share of a call that is filled under a backlog; keeping groups together and a lack of memory leave the rest
         * empty.
         */
        const val FILL_SHARE = 0.75

        /** A worker more than this many times slower than the fastest gets work only when there is a backlog. */
        const val SLOW_FACTOR = 2.5

        /**
         * Pieces wait for a busy worker only if the free one is expected to take this many times longer. With 1.1, one
         * owner of 12 simulated workers had a mean latency 4 to 11 % above that of the choice by learned speed, because
         * pieces that arrive later also go to the busy worker.
         */
        const val WAIT_FACTOR = 1.5

        /** Workers whose expected completions differ by less than this share are chosen at random. */
        const val CHOICE_SPREAD = 0.1

        /** Additional time of a call whose inputs or results cross zones, milliseconds: a few MB between zones. */
        const val CROSS_ZONE_MS = 60.0

        /** Delay of the due time of a piece per level of priority, milliseconds: about one call. */
        const val PRIORITY_STEP_MS = 400L

        /** Age after which the time of completed groups is ignored, milliseconds: about two calls. */
        const val RECENT_MS = 1_000L
        const val SMOOTHING = 0.15

        /** Longest wait for a worker in the preferred zone, milliseconds: about half a call. */
        const val MAX_ZONE_WAIT_MS = 200L

        /** Added to the due time of pieces that prefer another zone than the worker's, milliseconds: about one call. */
        const val CROSS_ZONE_PENALTY_MS = 350L
    }
}
