package io.oriolehall.entry.requests

import com.github.michaelbull.result.Result
import io.oriolehall.entry.answers.Answer
import io.oriolehall.model.Refusal

/** Decides whether a request may run here and where its answer comes from. */
fun interface RequestGate {
    /** The answer to [request], which may still be growing, or why it is refused. */
    suspend fun begin(request: InboundRequest): Result<Answer, Refusal>
}
