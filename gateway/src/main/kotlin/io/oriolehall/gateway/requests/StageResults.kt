package io.oriolehall.gateway.requests

import io.oriolehall.gateway.stages.StageAnswer
import io.oriolehall.gateway.stages.StageFailure
import io.oriolehall.gateway.stages.StageResult
import kotlinx.coroutines.CompletableDeferred

/**
 * The results of the stages of one request. Results that were lost are computed again by one of the stages that need
 * them, while the others wait: a stage gets all results of another one or none. Used on the traffic thread only.
 */
internal class StageResults {
    private val available = HashMap<Int, List<StageResult>>()
    private val computations = HashMap<Int, CompletableDeferred<StageAnswer>>()

    /** Stages whose results are available. */
    val stages: Set<Int> get() = available.keys.toSet()

    operator fun get(stage: Int): List<StageResult>? = available[stage]

    operator fun set(stage: Int, results: List<StageResult>) {
        available[stage] = results
    }

    fun remove(stage: Int): List<StageResult>? = available.remove(stage)

    /** True while the results of [stage] are computed again. */
    fun isComputing(stage: Int): Boolean = stage in computations

    /** True if other results of [stage] than [used] are available or will be. */
    fun areReplaced(stage: Int, used: List<StageResult>): Boolean =
        isComputing(stage) || available[stage]?.let { it !== used } ?: false

    /** Returns the results of [stage]. If there are none, [compute] computes them, unless that is in progress. */
    suspend fun getOrCompute(stage: Int, compute: suspend () -> StageAnswer): StageAnswer {
        available[stage]?.let { return StageAnswer(it) }
        computations[stage]?.let { return it.await() }
        val computation = CompletableDeferred<StageAnswer>()
        computations[stage] = computation
        try {
            val answer = compute()
            if (answer.failure == null) available[stage] = answer.results
            computation.complete(answer)
            return answer
        } finally {
            computations.remove(stage)
            computation.complete(StageAnswer(failure = StageFailure.FAILED)) // Changes nothing unless it was cancelled.
        }
    }
}
