package io.oriolehall.entry.stages

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.oriolehall.entry.cost.CostMetrics
import io.oriolehall.entry.explain.AttemptRecord
import io.oriolehall.entry.explain.RequestHistory
import io.oriolehall.entry.quarantine.Quarantine
import io.oriolehall.model.Endpoint
import io.oriolehall.model.Refusal
import io.oriolehall.model.Stage
import io.oriolehall.model.StageCall
import io.oriolehall.model.StageKind
import io.oriolehall.model.StageResult
import io.oriolehall.model.Usage
import io.oriolehall.policy.limits.CallResult
import io.oriolehall.policy.quarantine.Standing
import io.oriolehall.policy.retry.RetryBudget
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.delay

/**
 * Runs one stage of a request: chooses an endpoint, calls it, and calls another one when that is safe. A call that may
 * have run is made again only if the stage is idempotent.
 */
class StageRunner(
    private val slots: EndpointSlots,
    private val quarantine: Quarantine,
    private val budget: RetryBudget,
    private val cost: CostMetrics,
    private val client: EndpointClient,
    private val history: RequestHistory,
    private val timers: TimerService,
    private val log: EventLog,
) {
    /** Output of [stage] on [input]; a generating stage also hands each piece of text to [onText], once. */
    suspend fun run(
        stage: Stage,
        input: String,
        context: StageContext,
        onText: suspend (String) -> Unit,
    ): Result<String, Refusal> {
        val work = StageWork(stage, input, context, GeneratedText(onText))
        budget.onFirstAttempt()
        while (true) {
            val held = acquire(work)
            if (held.isErr) return Err(held.error)
            val outcome = callIn(held.value, work)
            if (outcome.isOk) return Ok(completed(work, outcome.value))
            work.onFailure(held.value.slot.endpoint.id, outcome.error)
            refusalAfter(outcome.error, work)?.let { return Err(it) }
        }
    }

    private class HeldSlot(val slot: EndpointSlot, val trial: Boolean)

    /** Waits for an endpoint; a request under suspicion waits until it has one to itself among suspects. */
    private suspend fun acquire(work: StageWork): Result<HeldSlot, Refusal> {
        while (true) {
            val standing = quarantine.standing(work.context.fingerprint)
            if (standing == Standing.BLAMED) return Err(work.refusals.quarantined())
            val slot = slots.acquire(work.stage, work.input, work.context, work.tried)
            if (slot.isErr) return Err(work.refusals.noSlot(slot.error, work.tried))
            val suspect = standing == Standing.SUSPECT
            if (!suspect || beginTrial(slot.value, work)) return Ok(HeldSlot(slot.value, suspect))
            delay(TRIAL_WAIT_MS)
        }
    }

    private suspend fun beginTrial(slot: EndpointSlot, work: StageWork): Boolean = slots.keepIf(slot, work.stage) {
        quarantine.beginTrial(work.context.fingerprint, slot.endpoint, work.context.remainingMs())
    }

    /** Makes one call in [held], which is given back whatever becomes of the call. */
    private suspend fun callIn(held: HeldSlot, work: StageWork): Result<StageResult, StageFailure> {
        val endpoint = held.slot.endpoint
        val call = work.nextCall(work.context.remainingMs())
        val outcome = inSlot(held.slot, work.stage, call) { onFirst ->
            guarded(work.stage, work.context) { attempt(endpoint, call, work, onFirst) }
        }
        if (held.trial) quarantine.endTrial(work.context.fingerprint, endpoint)
        return outcome
    }

    private fun completed(work: StageWork, result: StageResult): String {
        val last = work.context.request.pipeline.stages.last()
        if (work.stage == last) quarantine.onCompleted(work.context.fingerprint)
        return result.output
    }

    /** Why the stage is not called again after [failure]; null when it is. */
    private fun refusalAfter(failure: StageFailure, work: StageWork): Refusal? = when {
        failure is StageFailure.Withheld -> work.refusals.withheld(failure)
        work.mayRepeat(failure) && budget.tryAcquire() -> null
        else -> work.refusals.failed(failure)
    }

    /** Lets a stage that may not run twice leave only when the request's guard allows it. */
    private suspend fun guarded(
        stage: Stage,
        context: StageContext,
        attempt: suspend () -> Result<StageResult, StageFailure>,
    ): Result<StageResult, StageFailure> {
        if (stage.idempotent) return attempt()
        val guard = context.request.guard
        if (!guard.allowSend()) return Err(StageFailure.Withheld("it is too late to send"))
        val outcome = attempt()
        if (outcome.isOk) {
            guard.executed()
        } else if (!outcome.error.ran) {
            guard.declined()
        }
        return outcome
    }

    private fun StageContext.remainingMs() = request.deadlineMs - timers.nowMs()

    /** Runs [call] and gives [slot] back with what was seen of the endpoint. */
    private suspend fun inSlot(
        slot: EndpointSlot,
        stage: Stage,
        call: StageCall,
        run: suspend (onFirst: () -> Unit) -> Result<StageResult, StageFailure>,
    ): Result<StageResult, StageFailure> {
        var firstMs: Long? = null
        var outcome: Result<StageResult, StageFailure>? = null
        try {
            return run { firstMs = firstMs ?: timers.nowMs() }.also { outcome = it }
        } finally {
            val first = ((firstMs ?: timers.nowMs()) - slot.startedMs).toDouble()
            val failure = outcome?.takeIf { it.isErr }?.error
            if (failure is StageFailure.Unreachable) slots.onUnreachable(slot.endpoint)
            val mayRunOn = outcome == null || failure?.ran == true
            val result = outcome.toCallResult()
            val usage = outcome?.takeIf { it.isOk }?.value?.usage ?: Usage()
            cost.count(stage.name, call.organisation, result, timers.nowMs() - slot.startedMs, usage)
            val stop: suspend () -> Boolean = { client.stop(slot.endpoint, stage.kind, call) }
            slots.finish(slot, stage, result, first, stop.takeIf { mayRunOn })
        }
    }

    private fun Result<StageResult, StageFailure>?.toCallResult(): CallResult = when {
        this == null -> CallResult.CANCELLED
        isOk -> CallResult.COMPLETED
        error is StageFailure.Declined -> CallResult.DECLINED
        error is StageFailure.Withheld -> CallResult.CANCELLED
        else -> CallResult.FAILED
    }

    private suspend fun attempt(
        endpoint: Endpoint,
        call: StageCall,
        work: StageWork,
        onFirst: () -> Unit,
    ): Result<StageResult, StageFailure> {
        val context = work.context
        val start = timers.nowMs()
        val calledAtMs = timers.wallClockMs()
        context.markSent()
        val outcome = if (work.stage.kind == StageKind.GENERATE) {
            client.generate(endpoint, call, work.text, onFirst)
        } else {
            client.run(endpoint, call)
        }
        record(endpoint, call, context, start, outcome)
        if (outcome.isErr && outcome.error is StageFailure.Lost) {
            quarantine.onLostCall(context.fingerprint, endpoint, calledAtMs)
        }
        return outcome
    }

    private fun record(
        endpoint: Endpoint,
        call: StageCall,
        context: StageContext,
        start: Long,
        outcome: Result<StageResult, StageFailure>,
    ) {
        val attempt = AttemptRecord(
            stage = call.stage,
            attempt = call.attempt,
            endpoint = endpoint.id,
            startMs = start - context.request.arrivedMs,
            tookMs = timers.nowMs() - start,
            usage = if (outcome.isOk) outcome.value.usage else Usage(),
            failure = if (outcome.isErr) outcome.error.toString() else null,
        )
        history.update(call.requestId) { it.copy(attempts = it.attempts + attempt) }
        if (outcome.isErr) {
            log.write(
                Event.STAGE_ATTEMPT_FAILED,
                "request" to call.requestId,
                "stage" to call.stage,
                "endpoint" to endpoint.id,
                "failure" to outcome.error,
            )
        }
    }

    private companion object {
        /** Wait before a suspect asks again for an endpoint to itself, milliseconds. */
        const val TRIAL_WAIT_MS = 20L
    }
}
