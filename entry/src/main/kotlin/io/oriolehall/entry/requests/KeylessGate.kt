package io.oriolehall.entry.requests

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.oriolehall.entry.answers.Answer
import io.oriolehall.model.Refusal
import io.oriolehall.model.RefusalKind

/** Runs requests whose stages are all idempotent, each arrival anew, and refuses all others. */
class KeylessGate(private val executor: PipelineExecutor) : RequestGate {
    override suspend fun begin(request: InboundRequest): Result<Answer, Refusal> {
        if (!request.pipeline.idempotent && request.key == null) {
            val detail = "pipeline ${request.pipeline.id} has a stage that may not run twice"
            return Err(Refusal(RefusalKind.KEY_REQUIRED, detail))
        }
        return Ok(executor.start(request, executor.newRequestId()))
    }
}
