package io.oriolehall.gateway.stages

import io.oriolehall.dispatch.admission.StageTimeEstimates

/** Computes the stages of requests. Used on the traffic thread only. */
internal interface StageRunner {
    /** Current estimates of stage durations. */
    val timeEstimates: StageTimeEstimates

    /** Computes the pieces of [request]. [onInputsFetched] is called when the inputs are no longer needed. */
    suspend fun run(request: StageRequest, onInputsFetched: () -> Unit): StageAnswer

    /** Frees [results] of [service] in the background. */
    fun release(service: String, results: List<StageResult>)
}
