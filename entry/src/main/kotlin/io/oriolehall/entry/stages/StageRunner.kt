package io.oriolehall.entry.stages

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.oriolehall.entry.explain.AttemptRecord
import io.oriolehall.entry.explain.RequestHistory
import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.Refusal
import io.oriolehall.model.RefusalKind
import io.oriolehall.model.RunOutcome
import io.oriolehall.model.Stage
import io.oriolehall.model.StageCall
import io.oriolehall.model.StageKind
import io.oriolehall.model.StageResult
import io.oriolehall.model.Usage
import io.oriolehall.model.ZoneId
import io.oriolehall.policy.config.ConfigSnapshot
import io.oriolehall.policy.routing.CallContext
import io.oriolehall.policy.routing.Candidate
import io.oriolehall.policy.routing.EndpointPolicy
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService

/**
 * Runs one stage of a request: chooses an endpoint, calls it, and calls another one when that is safe. A call that may
 * have run is made again only if the stage is idempotent.
 */
class StageRunner(
    private val zone: ZoneId,
    private val config: () -> ConfigSnapshot,
    private val policy: EndpointPolicy,
    private val client: EndpointClient,
    private val outstanding: OutstandingCalls,
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
        val tried = mutableSetOf<EndpointId>()
        val text = GeneratedText(onText)
        while (true) {
            val endpoint = choose(stage, input, context, tried) ?: return Err(noEndpoint(stage, context, tried))
            val outcome = guarded(stage, context) { attempt(endpoint, stage, input, context, text) }
            if (outcome.isOk) return Ok(outcome.value.output)
            tried += endpoint.id
            val mayRepeat = !outcome.error.ran || (stage.idempotent && outcome.error !is StageFailure.Diverged)
            if (outcome.error is StageFailure.Withheld) return Err(withheld(stage, context, outcome.error))
            if (!mayRepeat || tried.size >= MAX_ATTEMPTS) return Err(stageFailed(stage, context, outcome.error))
        }
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

    private fun choose(stage: Stage, input: String, context: StageContext, tried: Set<EndpointId>): Endpoint? {
        val snapshot = config()
        val candidates = snapshot.endpointsByPool[stage.pool].orEmpty()
            .filter { it.id !in tried && snapshot.acceptsNewWork(it) }
            .map { Candidate(it, outstanding.count(it.id)) }
        val call = CallContext(context.request.organisation.id, zone, input)
        return policy.choose(candidates, call)?.endpoint
    }

    private suspend fun attempt(
        endpoint: Endpoint,
        stage: Stage,
        input: String,
        context: StageContext,
        text: GeneratedText,
    ): Result<StageResult, StageFailure> {
        val start = timers.nowMs()
        val call = context.toCall(stage, input, remainingMs = context.request.deadlineMs - start)
        val outcome = outstanding.during(endpoint.id) {
            context.markSent()
            if (stage.kind ==
                StageKind.GENERATE
            ) {
                client.generate(endpoint, call, text)
            } else {
                client.run(endpoint, call)
            }
        }
        record(endpoint, call, context, start, outcome)
        return outcome
    }

    private fun StageContext.toCall(stage: Stage, input: String, remainingMs: Long) = StageCall(
        requestId = requestId,
        stage = stage.name,
        attempt = nextAttempt(),
        organisation = request.organisation.id,
        input = input,
        query = request.body.input,
        remainingMs = remainingMs,
        priority = request.body.priority,
        maxTokens = request.body.maxTokens,
        idempotencyKey = request.key?.takeIf { !stage.idempotent },
    )

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

    private fun noEndpoint(stage: Stage, context: StageContext, tried: Set<EndpointId>): Refusal = Refusal(
        kind = RefusalKind.NO_ENDPOINT,
        detail = "no endpoint of pool ${stage.pool} takes stage ${stage.name}; tried $tried",
        outcome = context.outcome(),
        retryAfterMs = RETRY_AFTER_MS,
    )

    private fun withheld(stage: Stage, context: StageContext, failure: StageFailure): Refusal = Refusal(
        kind = RefusalKind.DEADLINE_EXCEEDED,
        detail = "stage ${stage.name}: ${failure.message}",
        outcome = context.outcome(),
    )

    private fun stageFailed(stage: Stage, context: StageContext, failure: StageFailure): Refusal = Refusal(
        kind = RefusalKind.STAGE_FAILED,
        detail = "stage ${stage.name}: ${failure.message}",
        outcome = context.outcome(),
        retryAfterMs = RETRY_AFTER_MS,
    )

    private fun StageContext.outcome() = if (anythingSent) RunOutcome.UNKNOWN else RunOutcome.NOT_RUN

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val RETRY_AFTER_MS = 1_000L
    }
}
