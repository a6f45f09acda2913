package io.oriolehall.cli.client

import io.oriolehall.model.InstanceId
import io.oriolehall.model.Problem
import io.oriolehall.model.RequestId

/** The outcome of a call from the caller's point of view. */
sealed interface CallOutcome {
    /**
     * The answer is complete: its offsets are contiguous, and its length and digest match those of the end event.
     *
     * @property firstTextMs milliseconds from sending the request to the first text; null for an empty answer.
     * @property tookMs milliseconds from sending the request to the end event.
     */
    data class Whole(
        val requestId: RequestId,
        val instance: InstanceId,
        val text: String,
        val firstTextMs: Long?,
        val tookMs: Long,
    ) : CallOutcome

    /** The instance refused the request. [received] is the text that arrived before a refusal in mid-answer. */
    data class Refused(val problem: Problem, val requestId: RequestId?, val received: String = "") : CallOutcome

    /** The connection broke, or the answer is inconsistent. The request can be resumed after [received]. */
    data class Broken(val reason: String, val requestId: RequestId?, val received: String = "") : CallOutcome

    /** No connection could be opened; the request was not sent. */
    data class Unreachable(val reason: String) : CallOutcome
}
