package io.oriolehall.gateway.requests

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.oriolehall.dispatch.config.PieceLimits
import io.oriolehall.dispatch.config.StageSpec
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.stages.StageAnswer
import io.oriolehall.gateway.stages.StageFailure
import io.oriolehall.gateway.stages.StageRequest
import io.oriolehall.gateway.stages.StageResult
import io.oriolehall.gateway.stages.StageRunner
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.model.ZoneId
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Runs the stages of one request in the order of their dependencies, and tracks their results until no stage needs them
 * any more.
 *
 * @param counts number of pieces of each stage.
 * @param serviceZone zone of the endpoint that was chosen before the stages run.
 */
internal class StageExecution(
    private val context: RequestContext,
    private val counts: List<Int>,
    private val runner: StageRunner,
    private val wire: WireProtocol,
    private val serviceZone: ZoneId?,
) {
    private val specs = context.route.stages
    private val answers = List(specs.size) { CompletableDeferred<StageAnswer>() }
    private val results = StageResults()
    private val stageJobs = mutableListOf<Job>()
    private var recomputations = 0

    /** The first failure of a stage; null if none has failed. */
    var failure: StageAnswer? = null
        private set

    /** Results that the request's own service takes as inputs, in the order of stages and pieces. */
    val inputs: List<StageResult>
        get() = context.route.finalStages.filter { counts[it] > 0 }.flatMap { results[it].orEmpty() }

    /** Runs all stages and stops at the first failure. Returns true when all stages have results. */
    suspend fun run(): Boolean {
        coroutineScope { specs.indices.forEach { stage -> stageJobs += launch { runStage(stage) } } }
        return failure == null
    }

    private suspend fun runStage(stage: Int) {
        val predecessorAnswers = specs[stage].after.map { answers[it].await() }
        val failedPredecessor = predecessorAnswers.firstOrNull { it.failure != null }
        val answer = when {
            failedPredecessor != null -> failedPredecessor

            counts[stage] == 0 -> StageAnswer()

            else -> {
                delay(startDelayMs(stage))
                compute(stage)
            }
        }
        if (answer.failure == null) {
            results[stage] = answer.results
            if (counts[stage] > 0) context.trace.stageEndsMs[stage] = TrafficLoop.nowMs() - context.request.receivedAtMs
        } else if (failure == null) {
            failure = answer
            stageJobs.forEachIndexed { i, job -> if (i != stage) job.cancel() }
        }
        releaseInputsOf(stage)
        answers[stage].complete(answer)
    }

    /** Computes [stage]. If inputs were lost with their worker or have expired, gets them again and repeats. */
    private suspend fun compute(stage: Int): StageAnswer {
        while (true) {
            val inputs = inputsOf(stage).getOrElse { return it }
            val request = request(stage, inputs.values.flatten())
            val answer = runner.run(request) { releaseInputsOf(stage, scarceOnly = true) }
            if (answer.failure != StageFailure.INPUT_GONE) return answer
            if (inputs.any { (predecessor, used) -> results.areReplaced(predecessor, used) }) continue
            if (!canRecompute()) return answer
            recomputations++
            inputs.keys.forEach(::release)
        }
    }

    /** All results of each predecessor of [stage], or the failure of one that had to be computed again. */
    private suspend fun inputsOf(stage: Int): Result<Map<Int, List<StageResult>>, StageAnswer> {
        val inputs = LinkedHashMap<Int, List<StageResult>>()
        for (predecessor in specs[stage].after.filter { counts[it] > 0 }) {
            val answer = results.getOrCompute(predecessor) { recompute(predecessor) }
            if (answer.failure != null) return Err(answer)
            inputs[predecessor] = answer.results
        }
        return Ok(inputs)
    }

    private fun canRecompute(): Boolean = recomputations < MAX_RECOMPUTATIONS && context.remainingMs() > expectedMs()

    private suspend fun recompute(stage: Int): StageAnswer = compute(stage).also { releaseInputsOf(stage) }

    private fun request(stage: Int, inputs: List<StageResult>): StageRequest {
        val spec = specs[stage]
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
            inputsUseScarceMemory = spec.after.any(::isScarce),
            objectiveInMs = stageObjectiveMs(stage, nowMs),
            deadlineInMs = context.remainingMs(nowMs),
            priority = context.priority,
            preferredZone = preferredZone(spec, inputs),
        )
    }

    /**
     * Every piece fetches all inputs, so a stage with large inputs runs in the zone of the inputs. A stage with large
     * results runs in the zone of the service that fetches them.
     */
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
     * Delay before [stage] is started. A stage with large results that neither depends on other stages nor precedes any
     * is started late if the critical path is longer, so that its results do not occupy worker memory in the meantime.
     */
    private fun startDelayMs(stage: Int): Long {
        val independent = specs[stage].after.isEmpty() && stage in context.route.finalStages
        val limits = context.plan.service(specs[stage].service)?.pieces
        if (!independent || limits == null || specs[stage].resultBytes < LARGE_RESULT_BYTES) return 0
        val slackMs = expectedMs() - FIRST_EVENT_MS - expectedMs(stage, limits) * START_MARGIN_FACTOR
        return maxOf(0, slackMs.toLong())
    }

    /** Expected time of the critical path of stages plus the first event at the current load, milliseconds. */
    fun expectedMs(): Double {
        val stageEndMs = DoubleArray(specs.size)
        for (stage in specs.indices) {
            stageEndMs[stage] = expectedStageMs(stage) + (specs[stage].after.maxOfOrNull { stageEndMs[it] } ?: 0.0)
        }
        return (stageEndMs.maxOrNull() ?: 0.0) + FIRST_EVENT_MS
    }

    /** Expected time of [stage] alone at the current load, milliseconds; 0 if it has no pieces. */
    fun expectedStageMs(stage: Int): Double {
        val limits = context.plan.service(specs[stage].service)?.pieces
        return if (counts[stage] == 0 || limits == null) 0.0 else expectedMs(stage, limits)
    }

    private fun expectedMs(stage: Int, limits: PieceLimits) =
        runner.timeEstimates.expectedMs(specs[stage].service, limits, TrafficLoop.nowMs())

    /** Divides the time until the objective equally among [stage] and the longest chain of stages that depend on it. */
    private fun stageObjectiveMs(stage: Int, nowMs: Long): Long {
        val remainingMs = context.objectiveAtMs - FIRST_EVENT_MS - nowMs
        return remainingMs / (1 + dependentChainLength(stage))
    }

    private fun dependentChainLength(stage: Int): Int {
        val dependents = specs.indices.filter { stage in specs[it].after && counts[it] > 0 }
        return dependents.maxOfOrNull { 1 + dependentChainLength(it) } ?: 0
    }

    /**
     * Releases the inputs of [stage] that no other unfinished stage needs. With [scarceOnly], releases only those whose
     * workers have scarce memory: other inputs are kept, because a piece that fails after it has fetched its inputs
     * needs them again.
     */
    private fun releaseInputsOf(stage: Int, scarceOnly: Boolean = false) {
        val finalStages = context.route.finalStages
        for (input in specs[stage].after.filter { it !in finalStages && (!scarceOnly || isScarce(it)) }) {
            val waiting = specs.indices.filter { input in specs[it].after && it != stage && isUnfinished(it) }
            if (waiting.isEmpty()) release(input)
        }
    }

    private fun isUnfinished(stage: Int): Boolean = !answers[stage].isCompleted || results.isComputing(stage)

    private fun isScarce(stage: Int): Boolean {
        val limits = context.plan.service(specs[stage].service)?.pieces ?: return false
        return limits.resultMemoryBytes < SCARCE_BELOW_CALLS * limits.batch * specs[stage].resultBytes
    }

    /** Releases all results. */
    fun releaseAll() = results.stages.forEach(::release)

    private fun release(stage: Int) {
        results.remove(stage)?.let { runner.release(specs[stage].service, it) }
    }

    companion object {
        /** Results of at least this size are computed in the zone that fetches them; smaller ones are cheap to move. */
        private const val LARGE_RESULT_BYTES = 100_000L

        /** Maximum number of recomputations of lost inputs for one request. */
        private const val MAX_RECOMPUTATIONS = 2

        /** A worker's result memory is scarce when it holds the results of fewer than this many full calls. */
        private const val SCARCE_BELOW_CALLS = 4

        /** A delayed stage is started this many times its expected duration before the critical path ends. */
        private const val START_MARGIN_FACTOR = 1.5

        /** Time that the request's own service needs until its first event for a typical prompt, milliseconds. */
        private const val FIRST_EVENT_MS = 200L

        /** Parses the number of pieces of each stage from a header value; null when it is missing or malformed. */
        fun parsePieceCounts(text: String?, stageCount: Int): List<Int>? {
            if (stageCount == 0) return emptyList()
            val counts = text?.split(',')?.map { it.trim().toIntOrNull()?.takeIf { n -> n in 0..MAX_PIECES } }
            return counts?.filterNotNull()?.takeIf { it.size == stageCount && counts.size == stageCount }
        }

        /** Maximum number of pieces of a stage of one request. */
        const val MAX_PIECES = 1_000

        /** The rejection for a failed stage. */
        fun rejection(answer: StageAnswer): Rejection = Rejection.NotExecuted(
            cause = RefusalCause.STAGE,
            reason = "stage: ${answer.failure ?: StageFailure.FAILED}",
            retryAfterMs = answer.retryAfterMs,
        )
    }
}
