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

/** Result of a piece, stored at [worker]. */
internal class SimulatedResult(val handle: String, val worker: StageWorker, val owner: SimulatedQueueOwner)

/**
 * Runs the [StageQueue] and [StageWorker]s of one service in simulated time; the counterpart of the gateway's queue
 * owner, which makes real calls.
 */
internal class SimulatedQueueOwner(
    private val service: SimulatedService,
    private val timeline: Timeline,
    private val scenario: LoadScenario,
    private val random: Random,
) {
    private class Group(
        val pieces: Int,
        val relativeCost: Double,
        val startedAtMs: Long,
        val onInputsFetched: () -> Unit,
        val onDone: (List<SimulatedResult>?) -> Unit,
    ) {
        val results = mutableListOf<SimulatedResult>()
        var unstarted = pieces
    }

    private val queue = StageQueue(service.limits)
    private val groups = HashMap<Long, Group>()
    private var nextGroupId = 0L
    private var nextHandleId = 0L
    private var dispatchScheduled = false
    private val workers = service.zones.mapIndexed { i, zone -> StageWorker(endpointRecord(i, zone), service.limits) }

    /** Calls that started while more pieces were waiting. */
    var backloggedCalls = 0
        private set

    /** Pieces in these calls. */
    var backloggedCallPieces = 0
        private set

    private fun endpointRecord(i: Int, zone: String) =
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

    private fun isUnavailable(worker: StageWorker): Boolean = scenario.outages.any {
        worker.endpoint.zone.value == it.zone && timeline.nowMs in it.fromMs until it.untilMs &&
            (it.service == null || it.service == service.name)
    }

    private fun availableWorkers() = workers.filterNot(::isUnavailable)

    fun expectedMs(): Long = queue.expectedMs(availableWorkers(), timeline.nowMs).coerceAtMost(60_000.0).toLong()

    /**
     * Queues [pieces] pieces created by [createPiece]. [onDone] receives their results, or null when they cannot meet
     * their deadline.
     */
    fun run(
        pieces: Int,
        relativeCost: Double,
        createPiece: (piece: Int, group: Long) -> PieceWork,
        onInputsFetched: () -> Unit,
        onDone: (List<SimulatedResult>?) -> Unit,
    ): Long {
        val groupId = nextGroupId++
        groups[groupId] = Group(pieces, relativeCost, timeline.nowMs, onInputsFetched, onDone)
        queue.add(List(pieces) { createPiece(it, groupId) })
        dispatch()
        return groupId
    }

    private fun dispatch() {
        queue.removeUnservable(timeline.nowMs).map(PieceWork::group).distinct().forEach(::fail)
        while (true) {
            val call = queue.next(availableWorkers(), timeline.nowMs) ?: break
            if (queue.size > 0) {
                backloggedCalls++
                backloggedCallPieces += call.pieces.size
            }
            start(call)
        }
        if (queue.size > 0 && !dispatchScheduled) {
            dispatchScheduled = true
            timeline.schedule(50) {
                dispatchScheduled = false
                dispatch()
            }
        }
    }

    private fun start(call: PlannedCall) {
        val endMs = call.worker.onCallStarted(call, timeline.nowMs)
        call.pieces.map(PieceWork::group).distinct().forEach { groupId -> onPiecesStarted(groupId, call) }
        val relativeCost = call.pieces.sumOf { groups[it.group]?.relativeCost ?: 1.0 }
        val noise = 0.9 + random.nextDouble() * 0.2
        val tookMs = ((service.limits.callMs + relativeCost * service.limits.pieceMs) * noise).toLong()
        timeline.schedule(tookMs) { end(call, endMs, tookMs) }
    }

    private fun onPiecesStarted(groupId: Long, call: PlannedCall) {
        val group = groups[groupId] ?: return
        group.unstarted -= call.pieces.count { it.group == groupId }
        if (group.unstarted == 0) timeline.schedule(60, group.onInputsFetched)
    }

    private fun end(call: PlannedCall, endMs: Long, tookMs: Long) {
        call.worker.onCallEnded(call, endMs, tookMs)
        call.pieces.forEach { deliver(call.worker, it) }
        dispatch()
    }

    private fun deliver(worker: StageWorker, piece: PieceWork) {
        val result = SimulatedResult("h${nextHandleId++}", worker, this)
        worker.onResultStored(result.handle, piece.resultBytes, timeline.nowMs)
        val group = groups[piece.group]
        if (group == null) {
            free(listOf(result))
            return
        }
        group.results += result
        if (group.results.size < group.pieces) return
        groups.remove(piece.group)
        queue.onGroupCompleted(timeline.nowMs - group.startedAtMs, timeline.nowMs)
        group.onDone(group.results)
    }

    private fun fail(groupId: Long) {
        val group = groups.remove(groupId) ?: return
        free(group.results)
        group.onDone(null)
    }

    /** Frees [results] at their workers after the delay of a message. */
    fun free(results: List<SimulatedResult>) = timeline.schedule(12) {
        results.forEach { it.worker.onResultFreed(it.handle) }
        dispatch()
    }
}
