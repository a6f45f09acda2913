package io.oriolehall.gateway.stages

import io.oriolehall.dispatch.config.PieceLimits
import io.oriolehall.dispatch.endpoints.EndpointIncarnation
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.stages.PieceInput
import io.oriolehall.dispatch.stages.PieceWork
import io.oriolehall.dispatch.stages.PlannedCall
import io.oriolehall.dispatch.stages.StageQueue
import io.oriolehall.dispatch.stages.StageWorker
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.wire.PieceOutcome
import io.oriolehall.model.ZoneId
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Is notified of the end of each [PlannedCall] to a stage worker, with its duration. */
internal fun interface StageCallObserver {
    fun onCallEnded(service: String, call: PlannedCall, elapsedMs: Long, answered: Boolean)
}

/**
 * Runs the stage queue of one service for all instances that consider this one its owner: batches pieces into calls,
 * tracks the state of the workers, and releases results. Two simultaneous owners are harmless: a worker declines calls
 * for which it has no free slot, and at worst a piece is computed twice. Used on the traffic thread only.
 */
internal class StageOwner(
    private val service: String,
    private val limits: PieceLimits,
    private val workers: () -> List<EndpointRecord>,
    private val unreachableZones: () -> Set<ZoneId>,
    private val client: StageWorkerClient,
    private val scope: CoroutineScope,
    private val log: EventLog,
    private val observer: StageCallObserver = StageCallObserver { _, _, _, _ -> },
) {
    /** The pieces of one stage request; they complete or fail together. */
    private class Group(val request: StageRequest, val fallback: Boolean, val onInputsFetched: suspend () -> Unit) {
        val results = arrayOfNulls<StageResult>(request.pieces)
        val done = CompletableDeferred<StageAnswer>()
        val arrivedAtMs = TrafficLoop.nowMs()
        var unstartedPieces = request.pieces
        val complete: Boolean get() = results.all { it != null }
    }

    private val queue = StageQueue(limits)
    private val groups = HashMap<Long, Group>()
    private val workerStates = LinkedHashMap<EndpointIncarnation, StageWorker>()
    private val releases = ResultReleases(scope, client, ::currentWorkers, onFreed = ::dispatch)
    private var nextGroupId = 0L
    private var scheduledDispatch: Job? = null

    /**
     * Computes the pieces of [request] and waits for the results. Cancellation removes the queued pieces.
     * [fallback] is true if another instance owns the queue but cannot be reached, so that this one runs the pieces.
     * [onInputsFetched] is called shortly after the last piece has started: workers fetch the inputs at the start.
     */
    suspend fun run(
        request: StageRequest,
        fallback: Boolean = false,
        onInputsFetched: suspend () -> Unit = {},
    ): StageAnswer {
        val nowMs = TrafficLoop.nowMs()
        admissionFailure(request, nowMs)?.let { return it.copy(expectedMs = expectedMs()) }
        val id = nextGroupId++
        val group = Group(request, fallback, onInputsFetched)
        groups[id] = group
        queue.add(List(request.pieces) { pieceWork(request, it, id, nowMs) })
        try {
            dispatch()
            return group.done.await().copy(expectedMs = expectedMs())
        } finally {
            if (groups.remove(id) != null) discard(group)
        }
    }

    /** Estimated duration of a stage request that arrives now, in milliseconds. */
    fun expectedMs(): Long =
        queue.expectedMs(reachableWorkers(), TrafficLoop.nowMs()).coerceAtMost(MAX_EXPECTED_MS).toLong()

    /** True while pieces are queued, so that a new request takes longer than its own calls. */
    val backlogged: Boolean get() = queue.size > 0

    private fun admissionFailure(request: StageRequest, nowMs: Long): StageAnswer? {
        val current = reachableWorkers()
        if (current.isEmpty()) return StageAnswer(failure = StageFailure.NO_WORKER, retryAfterMs = NO_WORKER_RETRY_MS)
        val estimateMs = queue.estimateMs(current, request.pieces, nowMs)
        if (estimateMs <= request.deadlineInMs * MAX_ESTIMATE_SHARE) return null
        val excessMs = (estimateMs - request.deadlineInMs * MAX_ESTIMATE_SHARE).coerceAtMost(MAX_RETRY_MS)
        return StageAnswer(failure = StageFailure.OVERLOADED, retryAfterMs = excessMs.toLong())
    }

    private fun pieceWork(request: StageRequest, piece: Int, group: Long, nowMs: Long) = PieceWork(
        requestId = request.requestId,
        stage = request.stage,
        piece = piece,
        input = request.key?.let { PieceInput.Key(it) } ?: PieceInput.Results(request.inputs),
        group = group,
        arrivedAtMs = nowMs,
        preferredZone = request.preferredZone,
        resultBytes = request.resultBytes,
        inputsHoldMemory = request.inputsUseScarceMemory,
        objectiveAtMs = nowMs + request.objectiveInMs,
        deadlineAtMs = nowMs + request.deadlineInMs,
        priority = request.priority,
    )

    private fun discard(group: Group) {
        queue.cancel(group.request.requestId)
        release(group.results.filterNotNull())
    }

    /** Returns groups without a started piece to the requesting instances, because another one owns the queue now. */
    fun handOver() {
        val unstarted = groups.filterValues { !it.fallback && it.unstartedPieces == it.request.pieces }.keys.toList()
        unstarted.forEach { failGroup(it, StageFailure.NOT_OWNER) }
    }

    private fun failGroup(id: Long, failure: StageFailure) {
        val group = groups.remove(id) ?: return
        group.done.complete(StageAnswer(failure = failure))
        discard(group)
    }

    private fun currentWorkers(): List<StageWorker> {
        val records = workers()
        val registered = records.mapTo(HashSet(), EndpointRecord::incarnation)
        workerStates.keys.removeIf { it !in registered }
        return records.map { record -> workerStates.getOrPut(record.incarnation) { newWorker(record) } }
    }

    private fun newWorker(record: EndpointRecord) = StageWorker(record, limits, client.loadOf(record))

    /** Workers that this instance can reach, or all of them if it can reach none. */
    private fun reachableWorkers(): List<StageWorker> {
        val current = currentWorkers()
        val cutOff = unreachableZones()
        return current.filterNot { it.endpoint.zone in cutOff }.ifEmpty { current }
    }

    /** Starts all calls for which a worker has capacity. */
    private fun dispatch() {
        val nowMs = TrafficLoop.nowMs()
        queue.removeUnservable(nowMs).map(PieceWork::group).distinct().forEach { failGroup(it, StageFailure.LATE) }
        val current = reachableWorkers()
        while (true) {
            val call = queue.next(current, TrafficLoop.nowMs()) ?: break
            val expectedEndMs = call.worker.onCallStarted(call, TrafficLoop.nowMs())
            recordCallStarted(call)
            scope.launch { runCall(call, expectedEndMs) }
        }
        if (queue.size > 0) scheduleDispatch()
    }

    private fun recordCallStarted(call: PlannedCall) {
        for (piece in call.pieces) {
            val group = groups[piece.group] ?: continue
            group.unstartedPieces--
            if (group.unstartedPieces > 0 || group.request.inputs.isEmpty()) continue
            scope.launch {
                delay(INPUT_FETCH_MS)
                if (groups[piece.group] === group && group.unstartedPieces == 0) group.onInputsFetched()
            }
        }
    }

    private fun requeue(piece: PieceWork) {
        val group = groups[piece.group] ?: return
        group.unstartedPieces++
        queue.add(listOf(piece))
    }

    /** Dispatches again after a short delay: an excluded worker may be usable by then, and deadlines may expire. */
    private fun scheduleDispatch() {
        if (scheduledDispatch?.isActive == true) return
        scheduledDispatch = scope.launch {
            delay(DISPATCH_RETRY_MS)
            scheduledDispatch = null
            dispatch()
        }
    }

    private suspend fun runCall(call: PlannedCall, expectedEndMs: Long) {
        val worker = call.worker
        val startedAtMs = TrafficLoop.nowMs()
        val timeoutMs = timeoutMs(call, expectedEndMs - startedAtMs)
        val answer = client.run(worker.endpoint, call.pieces, timeoutMs)
        val elapsedMs = TrafficLoop.nowMs() - startedAtMs
        val nowMs = TrafficLoop.nowMs()
        val overdue = elapsedMs > worker.expectedMs(call.pieces.size)
        worker.onCallEnded(call, expectedEndMs, elapsedMs.takeIf { answer is StageCallAnswer.Done || overdue })
        when (answer) {
            is StageCallAnswer.Done -> {
                worker.health.onSuccess(elapsedMs.toDouble())
                call.pieces.zip(answer.outcomes).forEach { (piece, outcome) ->
                    handleOutcome(worker, piece, outcome, nowMs)
                }
            }

            is StageCallAnswer.Declined -> {
                worker.health.onOverload(nowMs, answer.pauseMs)
                call.pieces.forEach(::requeue)
            }

            is StageCallAnswer.Failed -> {
                worker.health.onConnectionFailure(nowMs)
                call.pieces.forEach(::retry)
            }
        }
        logCall(call, answer, elapsedMs)
        dispatch()
    }

    /** A report that a worker is fast must not shorten the timeout, because the worker may become slower meanwhile. */
    private fun timeoutMs(call: PlannedCall, plannedMs: Long): Long {
        val learnedMs = call.worker.expectedMs(call.pieces.size)
        val expectedMs = if (call.worker.reportsSpeed) maxOf(learnedMs, plannedMs.toDouble()) else learnedMs
        return (expectedMs * TIMEOUT_FACTOR).toLong() + TIMEOUT_SLACK_MS
    }

    private fun logCall(call: PlannedCall, answer: StageCallAnswer, elapsedMs: Long) {
        observer.onCallEnded(service, call, elapsedMs, answer is StageCallAnswer.Done)
        val event = if (answer is StageCallAnswer.Done) Event.STAGE_CALL_ENDED else Event.STAGE_CALL_FAILED
        log.write(
            event,
            "service" to service,
            "endpoint" to call.worker.endpoint.id,
            "pieces" to call.pieces.size,
            "waiting" to queue.size,
            "ms" to elapsedMs,
            "choice" to call.choice.name.lowercase(),
            "outcome" to answer.describe(),
        )
    }

    private fun handleOutcome(worker: StageWorker, piece: PieceWork, outcome: PieceOutcome, nowMs: Long) {
        when (outcome) {
            is PieceOutcome.Done -> deliver(worker, piece, outcome.handle, nowMs)

            PieceOutcome.Late -> failGroup(piece.group, StageFailure.LATE)

            PieceOutcome.InputGone -> failGroup(piece.group, StageFailure.INPUT_GONE)

            PieceOutcome.Failed -> retry(piece)

            PieceOutcome.NoRoom -> {
                worker.onMemoryExhausted(nowMs)
                requeue(piece)
            }
        }
    }

    private fun deliver(worker: StageWorker, piece: PieceWork, handle: String, nowMs: Long) {
        worker.onResultStored(handle, piece.resultBytes, nowMs)
        val result = StageResult(handle, worker.endpoint.address, worker.endpoint.zone)
        val group = groups[piece.group]
        if (group == null) {
            release(listOf(result))
            return
        }
        group.results[piece.piece] = result
        if (!group.complete) return
        groups.remove(piece.group)
        queue.onGroupCompleted(nowMs - group.arrivedAtMs, nowMs)
        if (!group.done.complete(StageAnswer(group.results.filterNotNull()))) release(group.results.filterNotNull())
    }

    private fun retry(piece: PieceWork) {
        piece.failures++
        if (piece.failures > MAX_PIECE_FAILURES) {
            failGroup(piece.group, StageFailure.FAILED)
            return
        }
        requeue(piece)
    }

    /** Frees [results] at their workers. */
    fun release(results: List<StageResult>) = releases.add(results)

    private companion object {
        /** Maximum share of the remaining time that the estimate may take; the rest is for the stages that follow. */
        const val MAX_ESTIMATE_SHARE = 0.7
        const val MAX_EXPECTED_MS = 60_000.0
        const val NO_WORKER_RETRY_MS = 500L
        const val MAX_RETRY_MS = 3_000.0
        const val DISPATCH_RETRY_MS = 50L

        /** The timeout of a call is its expected duration times this factor, plus the slack. */
        const val TIMEOUT_FACTOR = 2.5
        const val TIMEOUT_SLACK_MS = 300L
        const val MAX_PIECE_FAILURES = 2

        /** Time that a worker takes to fetch the inputs of a call, in milliseconds: a few MB at some Gbit/s. */
        const val INPUT_FETCH_MS = 60L
    }
}
