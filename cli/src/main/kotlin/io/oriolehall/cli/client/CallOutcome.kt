package io.oriolehall.cli.client

import io.oriolehall.model.InstanceId
import io.oriolehall.model.Problem
import io.oriolehall.model.RequestId

/** How a call ended, as its caller sees it. */
sealed interface CallOutcome {
    /**
     * The answer arrived whole: its offsets follow on each other, and its length and digest are those of the end mark.
     *
     * @property firstTextMs from sending to the first text, milliseconds; null for an empty answer.
     * @property tookMs from sending to the end mark, milliseconds.
     */
    data class Whole(
        val requestId: RequestId,
        val instance: InstanceId,
        val text: String,
        val firstTextMs: Long?,
        val tookMs: Long,
    ) : CallOutcome

    /** The instance refused. [received] is the text that came before a refusal in mid-answer. */
    data class Refused(val problem: Problem, val requestId: RequestId?, val received: String = "") : CallOutcome

    /** The connection broke, or the answer does not agree with itself. [received] can be resumed from. */
    data class Broken(val reason: String, val requestId: RequestId?, val received: String = "") : CallOutcome

    /** No connection could be made; nothing was sent. */
    data class Unreachable(val reason: String) : CallOutcome
}
