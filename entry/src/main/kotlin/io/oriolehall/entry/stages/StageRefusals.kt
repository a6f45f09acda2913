package io.oriolehall.entry.stages

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Refusal
import io.oriolehall.model.RefusalKind
import io.oriolehall.model.RunOutcome
import io.oriolehall.model.Stage

/** What a caller is told when a stage of the request in [context] could not be run. */
internal class StageRefusals(private val stage: Stage, private val context: StageContext) {
    fun quarantined() = Refusal(
        kind = RefusalKind.QUARANTINED,
        detail = "two endpoints ended while they ran this input",
        outcome = outcome(),
    )

    fun noSlot(why: SlotRefusal, tried: Set<EndpointId>): Refusal = when (why) {
        SlotRefusal.NoEndpoint -> Refusal(
            kind = RefusalKind.NO_ENDPOINT,
            detail = "no endpoint of pool ${stage.pool} takes stage ${stage.name}; tried $tried",
            outcome = outcome(),
            retryAfterMs = RETRY_AFTER_MS,
        )

        is SlotRefusal.TooLate -> Refusal(
            kind = RefusalKind.DEADLINE_UNREACHABLE,
            detail = "stage ${stage.name} and what follows would take about ${why.expectedMs} ms",
            outcome = outcome(),
            retryAfterMs = why.retryAfterMs,
        )
    }

    fun withheld(failure: StageFailure) = Refusal(
        kind = RefusalKind.DEADLINE_EXCEEDED,
        detail = "stage ${stage.name}: ${failure.message}",
        outcome = outcome(),
    )

    fun failed(failure: StageFailure) = Refusal(
        kind = RefusalKind.STAGE_FAILED,
        detail = "stage ${stage.name}: ${failure.message}",
        outcome = outcome(),
        retryAfterMs = RETRY_AFTER_MS,
    )

    private fun outcome() = if (context.anythingSent) RunOutcome.UNKNOWN else RunOutcome.NOT_RUN

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
