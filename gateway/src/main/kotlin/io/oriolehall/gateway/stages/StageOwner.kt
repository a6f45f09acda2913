package io.oriolehall.gateway.stages

import io.oriolehall.dispatch.config.PieceLimits
import io.oriolehall.dispatch.endpoints.EndpointLife
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.stages.PieceInput
import io.oriolehall.dispatch.stages.PieceWork
import io.oriolehall.dispatch.stages.PlannedCall
import io.oriolehall.dispatch.stages.StageQueue
import io.oriolehall.dispatch.stages.StageWorker
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.wire.PieceOutcome
import io.oriolehall.model.NetworkAddress
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Hears of each call to a stage worker, with its pieces and its time in milliseconds. */
internal fun interface StageCallObserver {
    fun ended(service: String, pieces: Int, elapsedMs: Long, answered: Boolean)
}

/**
 * Runs the stage queue of one service for all instances that consider this one its owner: collects pieces into calls,
 * follows the workers, and releases results. Two owners at once are harmless: a worker declines what it has no place
 * for, and a piece may be computed twice. Used on the traffic thread only.
 */
internal class StageOwner(
    private val service: String,
    private val limits: PieceLimits,
    private val workers: () -> List<EndpointRecord>,
    private val client: StageWorkerClient,
    private val scope: CoroutineScope,
    private val log: EventLog,
    private val observer: StageCallObserver = StageCallObserver { _, _, _, _ -> },
) {
    private class Group(val request: StageRequest, val fallback: Boolean, val onInputsFetched: suspend () -> Unit) {
        val results = arrayOfNulls<StageResult>(request.pieces)
        val done = CompletableDeferred<StageAnswer>()
        val arrivedAtMs = TrafficLoop.nowMs()
        var waiting = request.pieces
        val complete: Boolean get() = results.all { it != null }
    }

    private val queue = StageQueue(limits)
    private val groups = HashMap<Long, Group>()
    private val states = LinkedHashMap<EndpointLife, StageWorker>()
    private val releases = HashMap<NetworkAddress, MutableList<String>>()
    private var nextGroup = 0L
    private var wakeUp: Job? = null

    /**
     * Computes the pieces of [request] and waits for them. Cancelling the call drops those that still wait.
     * [fallback] is true when this instance runs them although another one owns the queue and cannot be asked.
     * [onInputsFetched] is called once when all pieces are being computed: a worker fetches the inputs when it begins.
     */
    suspend fun run(
        request: StageRequest,
        fallback: Boolean = false,
        onInputsFetched: suspend () -> Unit = {},
    ): StageAnswer {
        val nowMs = TrafficLoop.nowMs()
        refuse(request, nowMs)?.let { return it.copy(expectedMs = expectedMs()) }
        val id = nextGroup++
        val group = Group(request, fallback, onInputsFetched)
        groups[id] = group
        queue.add(List(request.pieces) { work(request, it, id, nowMs) })
        try {
            dispatch()
            return group.done.await().copy(expectedMs = expectedMs())
        } finally {
            if (groups.remove(id) != null) abandon(group)
        }
    }

    /** Time that a stage request would take now, milliseconds. */
    fun expectedMs(): Long =
        queue.expectedMs(currentWorkers(), TrafficLoop.nowMs()).coerceAtMost(MAX_EXPECTED_MS).toLong()

    /** True when pieces wait, so that the next request takes longer than its calls. */
    val backlogged: Boolean get() = queue.size > 0

    private fun refuse(request: StageRequest, nowMs: Long): StageAnswer? {
        val usable = currentWorkers()
        if (usable.isEmpty()) return StageAnswer(failure = StageFailure.NO_WORKER, retryAfterMs = NO_WORKER_RETRY_MS)
        val estimateMs = queue.estimateMs(usable, request.pieces, nowMs)
        if (estimateMs <= request.deadlineInMs * USABLE_SHARE) return null
        val excessMs = (estimateMs - request.deadlineInMs * USABLE_SHARE).coerceAtMost(MAX_RETRY_MS)
        return StageAnswer(failure = StageFailure.OVERLOADED, retryAfterMs = excessMs.toLong())
    }

    private fun work(request: StageRequest, piece: Int, group: Long, nowMs: Long) = PieceWork(
        requestId = request.requestId,
        stage = request.stage,
        piece = piece,
        input = request.key?.let { PieceInput.Key(it) } ?: PieceInput.Results(request.inputs),
        group = group,
        arrivedAtMs = nowMs,
        preferredZone = request.preferredZone,
        resultBytes = request.resultBytes,
        holdsMemory = request.inputsScarce,
        objectiveAtMs = nowMs + request.objectiveInMs,
        deadlineAtMs = nowMs + request.deadlineInMs,
        priority = request.priority,
    )

    private fun abandon(group: Group) {
        queue.cancel(group.request.requestId)
        release(group.results.filterNotNull())
    }

    /** Gives the groups of which nothing has begun back to the instances that asked: another one owns the queue now. */
    fun handOver() {
        val idle = groups.filterValues { !it.fallback && it.waiting == it.request.pieces }.keys.toList()
        idle.forEach { fail(it, StageFailure.NOT_OWNER) }
    }

    private fun fail(id: Long, failure: StageFailure) {
        val group = groups.remove(id) ?: return
        group.done.complete(StageAnswer(failure = failure))
        abandon(group)
    }

    private fun currentWorkers(): List<StageWorker> {
        val records = workers()
        val lives = records.mapTo(HashSet(), EndpointRecord::life)
        states.keys.removeIf { it !in lives }
        return records.map { record -> states.getOrPut(record.life) { StageWorker(record, limits) } }
    }

    /** Starts all calls that can start now. */
    private fun dispatch() {
        val nowMs = TrafficLoop.nowMs()
        queue.removeHopeless(nowMs).map(PieceWork::group).distinct().forEach { fail(it, StageFailure.LATE) }
        val usable = currentWorkers()
        while (true) {
            val call = queue.next(usable, TrafficLoop.nowMs()) ?: break
            val expectedEndMs = call.worker.began(call, TrafficLoop.nowMs())
            noteStarted(call)
            scope.launch { perform(call, expectedEndMs) }
        }
        if (queue.size > 0) wakeLater()
    }

    private fun noteStarted(call: PlannedCall) {
        for (piece in call.pieces) {
            val group = groups[piece.group] ?: continue
            group.waiting--
            if (group.waiting > 0 || group.request.inputs.isEmpty()) continue
            scope.launch {
                delay(FETCH_MS)
                if (groups[piece.group] === group && group.waiting == 0) group.onInputsFetched()
            }
        }
    }

    private fun requeue(piece: PieceWork) {
        val group = groups[piece.group] ?: return
        group.waiting++
        queue.add(listOf(piece))
    }

    /** Looks again soon: a worker that was left out may be tried, and pieces may run out of time. */
    private fun wakeLater() {
        if (wakeUp?.isActive == true) return
        wakeUp = scope.launch {
            delay(LOOK_AGAIN_MS)
            wakeUp = null
            dispatch()
        }
    }

    private suspend fun perform(call: PlannedCall, expectedEndMs: Long) {
        val worker = call.worker
        val startedAtMs = TrafficLoop.nowMs()
        val timeoutMs = (worker.expectedMs(call.pieces.size) * TIMEOUT_FACTOR).toLong() + TIMEOUT_SLACK_MS
        val answer = client.run(worker.endpoint, call.pieces, timeoutMs)
        val elapsedMs = TrafficLoop.nowMs() - startedAtMs
        val nowMs = TrafficLoop.nowMs()
        val overdue = elapsedMs > worker.expectedMs(call.pieces.size)
        worker.ended(call, expectedEndMs, elapsedMs.takeIf { answer is StageCallAnswer.Done || overdue })
        when (answer) {
            is StageCallAnswer.Done -> {
                worker.health.succeeded(elapsedMs.toDouble())
                call.pieces.zip(answer.outcomes).forEach { (piece, outcome) -> settle(worker, piece, outcome, nowMs) }
            }

            is StageCallAnswer.Declined -> {
                worker.health.overloaded(nowMs)
                call.pieces.forEach(::requeue)
            }

            is StageCallAnswer.Broken -> {
                worker.health.failed(nowMs)
                call.pieces.forEach(::retry)
            }
        }
        logCall(call, answer, elapsedMs)
        dispatch()
    }

    private fun logCall(call: PlannedCall, answer: StageCallAnswer, elapsedMs: Long) {
        observer.ended(service, call.pieces.size, elapsedMs, answer is StageCallAnswer.Done)
        val event = if (answer is StageCallAnswer.Done) Event.STAGE_CALL_ENDED else Event.STAGE_CALL_FAILED
        log.write(
            event,
            "service" to service,
            "endpoint" to call.worker.endpoint.id,
            "pieces" to call.pieces.size,
            "waiting" to queue.size,
            "ms" to elapsedMs,
            "outcome" to answer.describe(),
        )
    }

    private fun settle(worker: StageWorker, piece: PieceWork, outcome: PieceOutcome, nowMs: Long) {
        when (outcome) {
            is PieceOutcome.Done -> deliver(worker, piece, outcome.handle, nowMs)

            PieceOutcome.Late -> fail(piece.group, StageFailure.LATE)

            PieceOutcome.InputGone -> fail(piece.group, StageFailure.INPUT_GONE)

            PieceOutcome.Failed -> retry(piece)

            PieceOutcome.NoRoom -> {
                worker.lacksRoom(nowMs)
                requeue(piece)
            }
        }
    }

    private fun deliver(worker: StageWorker, piece: PieceWork, handle: String, nowMs: Long) {
        worker.holds(handle, piece.resultBytes, nowMs)
        val result = StageResult(handle, worker.endpoint.address, worker.endpoint.zone)
        val group = groups[piece.group]
        if (group == null) {
            release(listOf(result))
            return
        }
        group.results[piece.piece] = result
        if (!group.complete) return
        groups.remove(piece.group)
        queue.completed(nowMs - group.arrivedAtMs, nowMs)
        if (!group.done.complete(StageAnswer(group.results.filterNotNull()))) release(group.results.filterNotNull())
    }

    private fun retry(piece: PieceWork) {
        piece.failures++
        if (piece.failures > MAX_FAILURES) {
            fail(piece.group, StageFailure.FAILED)
            return
        }
        requeue(piece)
    }

    /** Frees [results] at their workers, a few at a time. */
    fun release(results: List<StageResult>) {
        if (results.isEmpty()) return
        val first = releases.isEmpty()
        results.forEach { releases.getOrPut(it.worker) { mutableListOf() } += it.handle }
        if (first) scope.launch { sendReleases() }
    }

    private suspend fun sendReleases() {
        delay(COLLECT_RELEASES_MS)
        val batch = releases.toMap()
        releases.clear()
        val byAddress = currentWorkers().associateBy { it.endpoint.address }
        for ((address, handles) in batch) {
            val worker = byAddress[address] ?: continue
            scope.launch { free(worker, handles) }
        }
    }

    /** The memory counts as taken until the worker has answered: a call that begins before finds no room there. */
    private suspend fun free(worker: StageWorker, handles: List<String>) {
        if (!client.free(worker.endpoint, handles)) return
        handles.forEach(worker::freed)
        dispatch()
    }

    private companion object {
        /** Part of the time left that the estimate may take; the rest is for the stages that follow. */
        const val USABLE_SHARE = 0.7
        const val MAX_EXPECTED_MS = 60_000.0
        const val NO_WORKER_RETRY_MS = 500L
        const val MAX_RETRY_MS = 3_000.0
        const val LOOK_AGAIN_MS = 50L

        /** A call is given up when it takes this many times as long as expected, and the slack. */
        const val TIMEOUT_FACTOR = 2.5
        const val TIMEOUT_SLACK_MS = 300L
        const val MAX_FAILURES = 2

        /** Time in which a worker that begins a call has fetched its inputs, milliseconds; a few MB at some Gbit/s. */
        const val FETCH_MS = 60L
        const val COLLECT_RELEASES_MS = 10L
    }
}
