package io.oriolehall.gateway.requests

import io.oriolehall.dispatch.config.PieceLimits
import io.oriolehall.dispatch.config.StageSpec
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.stages.StageAnswer
import io.oriolehall.gateway.stages.StageFailure
import io.oriolehall.gateway.stages.StageRequest
import io.oriolehall.gateway.stages.StageResult
import io.oriolehall.gateway.stages.StageService
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.model.ZoneId
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Runs the stages of one request in the order of their dependencies, and keeps track of the results until they are no
 * longer needed.
 */
internal class StagePlan(
    private val context: RequestContext,
    private val counts: List<Int>,
    private val stages: StageService,
    private val wire: WireProtocol,
    private val serviceZone: ZoneId?,
) {
    private val specs = context.route.stages
    private val done = List(specs.size) { CompletableDeferred<StageAnswer>() }
    private val held = HashMap<Int, List<StageResult>>()
    private val running = mutableListOf<Job>()
    private var recomputed = 0

    /** The first failure; null when all stages have results. */
    var failure: StageAnswer? = null
        private set

    /** Results for the request's own service, in the order of stages and pieces. */
    val inputs: List<StageResult>
        get() = context.route.finalStages.filter { counts[it] > 0 }.flatMap { held[it].orEmpty() }

    /** Runs all stages; ends at the first failure. Returns true when all have results. */
    suspend fun run(): Boolean {
        coroutineScope { specs.indices.forEach { stage -> running += launch { runStage(stage) } } }
        return failure == null
    }

    private suspend fun runStage(stage: Int) {
        val before = specs[stage].after.map { done[it].await() }
        val failed = before.firstOrNull { it.failure != null }
        val answer = when {
            failed != null -> failed

            counts[stage] == 0 -> StageAnswer()

            else -> {
                delay(headStartMs(stage))
                compute(stage)
            }
        }
        if (answer.failure == null) {
            held[stage] = answer.results
            if (counts[stage] > 0) context.trace.stageEndsMs[stage] = TrafficLoop.nowMs() - context.request.receivedAtMs
        } else if (failure == null) {
            failure = answer
            running.forEachIndexed { i, job -> if (i != stage) job.cancel() }
        }
        releaseInputsOf(stage)
        done[stage].complete(answer)
    }

    /** Computes [stage]. Inputs that have gone, with their worker or by time, are computed again before. */
    private suspend fun compute(stage: Int): StageAnswer {
        var answer = runOnce(stage)
        while (answer.failure == StageFailure.INPUT_GONE && mayRecompute()) {
            recomputed++
            val lost = specs[stage].after.map { recompute(it) }.firstOrNull { it.failure != null }
            answer = lost ?: runOnce(stage)
        }
        return answer
    }

    private suspend fun runOnce(stage: Int): StageAnswer =
        stages.run(request(stage)) { releaseInputsOf(stage, scarceOnly = true) }

    private fun mayRecompute(): Boolean = recomputed < MAX_RECOMPUTED && context.leftMs() > expectedMs()

    private suspend fun recompute(stage: Int): StageAnswer {
        if (counts[stage] == 0) return StageAnswer()
        release(stage)
        val before = specs[stage].after.filter { it !in held }.map { recompute(it) }
        val answer = before.firstOrNull { it.failure != null } ?: compute(stage)
        if (answer.failure == null) held[stage] = answer.results
        return answer
    }

    private fun request(stage: Int): StageRequest {
        val spec = specs[stage]
        val inputs = spec.after.flatMap { held[it].orEmpty() }
        val nowMs = TrafficLoop.nowMs()
        val key = context.request.headers.get(wire.headers.pieceKey).takeIf { spec.after.isEmpty() }
        return StageRequest(
            service = spec.service,
            requestId = context.attemptId,
            stage = stage,
            pieces = counts[stage],
            key = key,
            inputs = inputs.map(StageResult::handle),
            resultBytes = spec.resultBytes,
            inputsScarce = spec.after.any(::isScarce),
            objectiveInMs = stageObjectiveMs(stage, nowMs),
            deadlineInMs = context.leftMs(nowMs),
            priority = context.priority,
            preferredZone = preferredZone(spec, inputs),
        )
    }

    /** Every piece fetches all inputs, so large ones are not moved; large results are made where they are fetched. */
    private fun preferredZone(spec: StageSpec, inputs: List<StageResult>): ZoneId? {
        val inputBytes = spec.after.sumOf { specs[it].resultBytes * counts[it] }
        val inputZone = inputs.groupingBy(StageResult::zone).eachCount().maxByOrNull { it.value }?.key
        return when {
            inputBytes >= LARGE_RESULT_BYTES && inputZone != null -> inputZone
            spec.resultBytes >= LARGE_RESULT_BYTES -> serviceZone
            else -> null
        }
    }

    /**
     * A stage with large results whose own way is short waits, so that the results do not take memory at their worker
     * until the longer way is done.
     */
    private fun headStartMs(stage: Int): Long {
        val alone = specs[stage].after.isEmpty() && stage in context.route.finalStages
        val limits = context.table.service(specs[stage].service)?.pieces
        if (!alone || limits == null || specs[stage].resultBytes < LARGE_RESULT_BYTES) return 0
        val spareMs = expectedMs() - GENERATION_MS - expectedMs(stage, limits) * HEAD_START_MARGIN
        return maxOf(0, spareMs.toLong())
    }

    /** Time that the stages on the longest way and the first event take now, milliseconds. */
    fun expectedMs(): Double {
        val ends = DoubleArray(specs.size)
        for (stage in specs.indices) {
            val limits = context.table.service(specs[stage].service)?.pieces
            val ownMs = if (counts[stage] == 0 || limits == null) 0.0 else expectedMs(stage, limits)
            ends[stage] = ownMs + (specs[stage].after.maxOfOrNull { ends[it] } ?: 0.0)
        }
        return (ends.maxOrNull() ?: 0.0) + GENERATION_MS
    }

    private fun expectedMs(stage: Int, limits: PieceLimits) =
        stages.loads.expectedMs(specs[stage].service, limits, TrafficLoop.nowMs())

    /** The stages that follow on the longest way get equal parts of what is left until the objective. */
    private fun stageObjectiveMs(stage: Int, nowMs: Long): Long {
        val leftMs = context.objectiveAtMs - GENERATION_MS - nowMs
        return leftMs / (1 + following(stage))
    }

    private fun following(stage: Int): Int {
        val next = specs.indices.filter { stage in specs[it].after && counts[it] > 0 }
        return next.maxOfOrNull { 1 + following(it) } ?: 0
    }

    /**
     * Gives up results that no stage needs any more. With [scarceOnly] only those that fill their workers' memory: a
     * piece that fails after it has fetched its inputs needs them again.
     */
    private fun releaseInputsOf(stage: Int, scarceOnly: Boolean = false) {
        val finals = context.route.finalStages
        for (input in specs[stage].after.filter { it !in finals && (!scarceOnly || isScarce(it)) }) {
            val open = specs.indices.filter { input in specs[it].after && it != stage && !done[it].isCompleted }
            if (open.isEmpty()) release(input)
        }
    }

    private fun isScarce(stage: Int): Boolean {
        val limits = context.table.service(specs[stage].service)?.pieces ?: return false
        return limits.resultRoomBytes < SCARCE_CALLS * limits.batch * specs[stage].resultBytes
    }

    /** Gives up all results. */
    fun releaseAll() = held.keys.toList().forEach(::release)

    private fun release(stage: Int) {
        val results = held.remove(stage) ?: return
        stages.release(specs[stage].service, results)
    }

    companion object {
        /** Results from this size on are made in the zone where they are fetched; smaller ones cost less to move. */
        private const val LARGE_RESULT_BYTES = 100_000L

        /** Times that gone results are computed again for one request. */
        private const val MAX_RECOMPUTED = 2

        /** A worker's memory for results is scarce when it holds less than this many full calls. */
        private const val SCARCE_CALLS = 4

        /** A waiting stage is begun this many times its expected time before the longest way ends. */
        private const val HEAD_START_MARGIN = 1.5

        /** Time that the request's own service needs until its first event, milliseconds; a typical prompt. */
        private const val GENERATION_MS = 200L

        /** The number of pieces of each stage as the caller says; null when it cannot be read. */
        fun counts(text: String?, stages: Int): List<Int>? {
            if (stages == 0) return emptyList()
            val counts = text?.split(',')?.map { it.trim().toIntOrNull()?.takeIf { n -> n in 0..MAX_PIECES } }
            return counts?.filterNotNull()?.takeIf { it.size == stages && counts.size == stages }
        }

        /** Most pieces that a stage of one request may have. */
        private const val MAX_PIECES = 1_000

        /** What a caller is told about a stage's failure. */
        fun rejection(answer: StageAnswer): Rejection = Rejection.NotExecuted(
            cause = RefusalCause.STAGE,
            reason = "stage: ${answer.failure ?: StageFailure.FAILED}",
            retryAfterMs = answer.retryAfterMs,
        )
    }
}
