package io.oriolehall.harness.demo

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.model.RunOutcome

/**
 * A request that the demo sent, and how it ended.
 *
 * @property key idempotency key, set on requests that may not run twice.
 * @property expected the answer it must get.
 */
data class DemoCall(
    val organisation: String,
    val pipeline: String,
    val deadlineMs: Long,
    val key: String?,
    val expected: String,
    val outcome: CallOutcome,
) {
    /** True when the whole answer came before the deadline. */
    val attained: Boolean get() = outcome is CallOutcome.Whole && outcome.tookMs <= deadlineMs

    /** True when the caller was told that nothing ran. */
    val toldNotRun: Boolean get() = outcome is CallOutcome.Refused && outcome.problem.outcome == RunOutcome.NOT_RUN

    /** What is wrong with the answer; null when it is whole and right, or was refused before it began. */
    val fault: String? get() = when (outcome) {
        is CallOutcome.Whole -> "answer differs from the expected one".takeIf { outcome.text != expected }
        is CallOutcome.Refused -> "broken off: ${outcome.problem.detail}".takeIf { outcome.received.isNotEmpty() }
        is CallOutcome.Broken -> outcome.reason
        is CallOutcome.Unreachable -> outcome.reason
    }
}
