package io.oriolehall.entry.stages

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Stage
import io.oriolehall.model.StageCall

/** One stage of one request while it is being run, over all its calls. Used by one coroutine. */
internal class StageWork(
    val stage: Stage,
    val input: String,
    val context: StageContext,
    val text: GeneratedText,
) {
    private val failedAt = mutableSetOf<EndpointId>()
    private var runs = 0

    val refusals = StageRefusals(stage, context)

    /** Endpoints at which a call failed; they are not called again. */
    val tried: Set<EndpointId> get() = failedAt

    /** A further call with [remainingMs] milliseconds until the deadline. */
    fun nextCall(remainingMs: Long) = StageCall(
        requestId = context.requestId,
        stage = stage.name,
        attempt = context.nextAttempt(),
        organisation = context.request.organisation.id,
        input = input,
        query = context.request.body.input,
        remainingMs = remainingMs,
        priority = context.request.body.priority,
        maxTokens = context.request.body.maxTokens,
        idempotencyKey = context.request.key?.takeIf { !stage.idempotent },
    )

    /** Notes that a call at [endpoint] ended with [failure]. */
    fun onFailure(endpoint: EndpointId, failure: StageFailure) {
        failedAt += endpoint
        if (failure.ran) runs++
    }

    /** True when another call is safe after [failure]: nothing ran, or the stage is idempotent. */
    fun mayRepeat(failure: StageFailure): Boolean = when (failure) {
        is StageFailure.Withheld -> false
        is StageFailure.Diverged -> false
        else -> !failure.ran || (stage.idempotent && runs < MAX_RUNS)
    }

    private companion object {
        const val MAX_RUNS = 3
    }
}
