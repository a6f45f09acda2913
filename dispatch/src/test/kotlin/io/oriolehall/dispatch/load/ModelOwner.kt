package io.oriolehall.dispatch.load

import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.stages.PieceWork
import io.oriolehall.dispatch.stages.PlannedCall
import io.oriolehall.dispatch.stages.StageQueue
import io.oriolehall.dispatch.stages.StageWorker
import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import kotlin.random.Random

/** Result of a piece at the worker that holds it. */
internal class ModelResult(val handle: String, val worker: StageWorker, val owner: ModelOwner)

/**
 * Runs the queue of one service with [StageQueue] and [StageWorker] in simulated time, as the gateway's owner of the
 * queue does with real calls.
 */
internal class ModelOwner(
    private val service: ModelService,
    private val timeline: Timeline,
    private val day: ModelDay,
    private val random: Random,
) {
    private class Group(
        val pieces: Int,
        val effort: Double,
        val startedAtMs: Long,
        val onFetched: () -> Unit,
        val onDone: (List<ModelResult>?) -> Unit,
    ) {
        val results = mutableListOf<ModelResult>()
        var waiting = pieces
    }

    private val queue = StageQueue(service.limits)
    private val groups = HashMap<Long, Group>()
    private var nextGroup = 0L
    private var nextHandle = 0L
    private var waking = false
    private val workers = service.zones.mapIndexed { i, zone -> StageWorker(record(i, zone), service.limits) }

    /** Pieces computed, and calls that computed them while work was left waiting. */
    var fullCalls = 0
        private set
    var fullCallPieces = 0
        private set

    private fun record(i: Int, zone: String) =
        EndpointRecord(
            EndpointId("$i"),
            1,
            service.name,
            NetworkAddress("10.0.0.$i", 1),
            ZoneId(zone),
            1,
            false,
            0,
        )

    private fun isGone(worker: StageWorker): Boolean = day.outages.any {
        worker.endpoint.zone.value == it.zone && timeline.nowMs in it.fromMs until it.untilMs &&
            (it.service == null || it.service == service.name)
    }

    private fun present() = workers.filterNot(::isGone)

    fun expectedMs(): Long = queue.expectedMs(present(), timeline.nowMs).coerceAtMost(60_000.0).toLong()

    /** Computes [pieces] pieces like [first]; [onDone] gets their results, or null when they are too late. */
    fun run(
        pieces: Int,
        effort: Double,
        first: (piece: Int, group: Long) -> PieceWork,
        onFetched: () -> Unit,
        onDone: (List<ModelResult>?) -> Unit,
    ): Long {
        val id = nextGroup++
        groups[id] = Group(pieces, effort, timeline.nowMs, onFetched, onDone)
        queue.add(List(pieces) { first(it, id) })
        dispatch()
        return id
    }

    private fun dispatch() {
        queue.removeHopeless(timeline.nowMs).map(PieceWork::group).distinct().forEach(::fail)
        while (true) {
            val call = queue.next(present(), timeline.nowMs) ?: break
            if (queue.size > 0) {
                fullCalls++
                fullCallPieces += call.pieces.size
            }
            start(call)
        }
        if (queue.size > 0 && !waking) {
            waking = true
            timeline.after(50) {
                waking = false
                dispatch()
            }
        }
    }

    private fun start(call: PlannedCall) {
        val endMs = call.worker.began(call, timeline.nowMs)
        call.pieces.map(PieceWork::group).distinct().forEach { id -> noteStarted(id, call) }
        val effort = call.pieces.sumOf { groups[it.group]?.effort ?: 1.0 }
        val noise = 0.9 + random.nextDouble() * 0.2
        val tookMs = ((service.limits.callMs + effort * service.limits.pieceMs) * noise).toLong()
        timeline.after(tookMs) { end(call, endMs, tookMs) }
    }

    private fun noteStarted(id: Long, call: PlannedCall) {
        val group = groups[id] ?: return
        group.waiting -= call.pieces.count { it.group == id }
        if (group.waiting == 0) timeline.after(60, group.onFetched)
    }

    private fun end(call: PlannedCall, endMs: Long, tookMs: Long) {
        call.worker.ended(call, endMs, tookMs)
        call.pieces.forEach { deliver(call.worker, it) }
        dispatch()
    }

    private fun deliver(worker: StageWorker, piece: PieceWork) {
        val result = ModelResult("h${nextHandle++}", worker, this)
        worker.holds(result.handle, piece.resultBytes, timeline.nowMs)
        val group = groups[piece.group]
        if (group == null) {
            free(listOf(result))
            return
        }
        group.results += result
        if (group.results.size < group.pieces) return
        groups.remove(piece.group)
        queue.completed(timeline.nowMs - group.startedAtMs, timeline.nowMs)
        group.onDone(group.results)
    }

    private fun fail(id: Long) {
        val group = groups.remove(id) ?: return
        free(group.results)
        group.onDone(null)
    }

    /** Frees [results] at their workers a little later, as messages take. */
    fun free(results: List<ModelResult>) = timeline.after(12) {
        results.forEach { it.worker.freed(it.handle) }
        dispatch()
    }
}
