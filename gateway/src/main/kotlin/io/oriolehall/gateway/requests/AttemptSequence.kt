package io.oriolehall.gateway.requests

import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.http.Responder
import io.oriolehall.gateway.quarantine.CrashQuarantine
import io.oriolehall.model.FieldText
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.write

/**
 * The attempts of one request whose stages are complete. Another endpoint is tried only where that is allowed: the
 * request has not run or may run again, and the route's attempts and the retry budget are not used up.
 */
internal class AttemptSequence(
    private val context: RequestContext,
    private val responder: Responder,
    private val environment: RequestEnvironment,
    private val endpoints: EndpointSelection,
    private val execution: StageExecution,
) {
    private val splitter = EventSplitter()
    private var lastFailure: AttemptOutcome.Failure? = null

    /** Number of attempts in which the request left this instance. */
    private var sentAttempts = 0

    /** Sends the request until a response was written, and returns null then, or else the rejection to send. */
    suspend fun run(): Rejection? {
        traceInputs()
        var reason = "no endpoint can be used"
        var retryObstacle: String? = null
        while (retryObstacle == null) {
            environment.quarantine.refusal(context)?.let { return finishWithoutDelivery(reason, rejection(it)) }
            val outcome = attempt()
            if (outcome is AttemptOutcome.Delivered) return null
            retryObstacle =
                if (outcome == null) "no other endpoint has a free slot" else obstacleAfter(outcome)
            if (outcome == null) continue
            reason = outcome.describe()
            if (outcome is AttemptOutcome.Failure) lastFailure = outcome
            splitter.dropIncompleteEvent()
        }
        context.trace.retryObstacle = retryObstacle
        val declined = Rejection.NotExecuted(RefusalCause.DECLINED, reason, endpoints.retryAfterMs())
        return finishWithoutDelivery(reason, declined)
    }

    private fun traceInputs() {
        val inputs = execution.inputs
        context.trace.resultZones = inputs.groupingBy { it.zone }.eachCount()
        if (inputs.isNotEmpty()) context.trace.stagesMs = TrafficLoop.nowMs() - context.request.receivedAtMs
    }

    /** Why the request may not be retried after [outcome]; null when it may. */
    private fun obstacleAfter(outcome: AttemptOutcome): String? {
        if (outcome is AttemptOutcome.NotRun && !outcome.sent) return null
        sentAttempts++
        val allowance = environment.retryAllowance(context.service)
        return when {
            outcome !is AttemptOutcome.NotRun && !context.route.retryable -> "may have run and runs at most once"
            responder.started && !canContinue() -> "its last event has no id after which a stream can continue"
            sentAttempts >= context.route.maxAttempts -> "all attempts of the route are used"
            allowance.tryAcquire(TrafficLoop.nowMs(), environment.instanceCount()) -> null
            else -> "this instance's share of the retry budget is used up"
        }
    }

    private fun canContinue(): Boolean = splitter.lastEventId?.let(FieldText::isSendable) ?: false

    private suspend fun attempt(): AttemptOutcome? {
        val zone = context.trace.resultZones.maxByOrNull { it.value }?.key
        val choice = endpoints.await(zone)
        if (choice !is EndpointChoice.Chosen) return null
        endpoints.onTried(choice)
        val pool = choice.pool
        context.trace.attempts++
        context.trace.endpoint = pool.endpoint.id
        context.trace.endpointZone = pool.endpoint.zone
        val lastEventId = splitter.lastEventId
        if (lastEventId != null) {
            environment.log.write(
                Event.STREAM_RESUMED,
                "request" to context.attemptId,
                "endpoint" to pool.endpoint.id,
                "after" to lastEventId,
            )
        }
        val attempt = Attempt(context, pool, environment, responder, splitter, ::onAnswerBegun)
        val outcome = attempt.run(execution.inputs.map { it.handle }, lastEventId, headTimeoutMs())
        environment.metrics.recordAttempt(context.service, outcome)
        if (outcome is AttemptOutcome.Delivered) {
            environment.quarantine.onAnswerCompleted(context)
        } else {
            logAttempt(pool.endpoint.id.value, outcome)
        }
        if (outcome is AttemptOutcome.Lost) {
            val examination = environment.quarantine.onLost(context, pool, outcome)
            if (context.route.retryable) examination?.join()
        }
        return outcome
    }

    private fun onAnswerBegun() {
        execution.releaseAll()
        environment.quarantine.onAnswerBegun(context)
    }

    /** Timeout for the response head; leaves a retryable request time to retry if the endpoint does not respond. */
    private fun headTimeoutMs(): Long? {
        if (!context.route.retryable || sentAttempts + 1 >= context.route.maxAttempts) return null
        return maxOf(MIN_HEAD_TIMEOUT_MS, (context.route.objectiveMs * HEAD_TIMEOUT_SHARE).toLong())
    }

    private fun logAttempt(endpoint: String, outcome: AttemptOutcome) = environment.log.write(
        Event.ATTEMPT_FAILED,
        "request" to context.attemptId,
        "endpoint" to endpoint,
        "outcome" to outcome.describe(),
        "leftMs" to context.remainingMs(),
    )

    /** Rejects with [notRun] if no endpoint may have run the request. */
    private fun finishWithoutDelivery(reason: String, notRun: Rejection.NotExecuted): Rejection? {
        val failure = lastFailure
        return when {
            responder.started -> Rejection.OutcomeUnknown(reason)

            failure != null -> {
                context.trace.failureStatus = failure.status
                responder.respond(failure.status, failure.headers, failure.body)
                null
            }

            context.mayHaveRun -> Rejection.OutcomeUnknown(reason)

            else -> notRun
        }
    }

    companion object {
        /** Share of the objective that a retryable attempt waits for the response head. */
        private const val HEAD_TIMEOUT_SHARE = 0.8
        private const val MIN_HEAD_TIMEOUT_MS = 150L

        /** The rejection of a request that is quarantined and has not run. */
        fun rejection(refusal: CrashQuarantine.Refusal) = Rejection.NotExecuted(
            RefusalCause.QUARANTINED,
            "endpoints ended while they ran requests with fingerprint ${refusal.fingerprint}; change the prompt",
            refusal.remainingMs,
        )
    }
}
