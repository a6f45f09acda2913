package io.oriolehall.gateway.requests

import io.oriolehall.dispatch.retries.SecondAttemptPolicy
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.http.Responder
import io.oriolehall.gateway.quarantine.CrashQuarantine
import io.oriolehall.gateway.upstream.EndpointPool
import io.oriolehall.model.FieldText
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.write
import kotlinx.coroutines.Job

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

    /** True once the request has had its chance of a second attempt beside the first one. */
    private var raced = false

    /** Examinations of endpoints that may have ended while they ran the request. */
    private val examinations = mutableListOf<Job>()

    /** Sends the request until a response was written, and returns null then, or else the rejection to send. */
    suspend fun run(): Rejection? {
        traceInputs()
        var reason = "no endpoint can be used"
        var retryObstacle: String? = null
        while (retryObstacle == null) {
            environment.quarantine.refusal(context)?.let { return finishWithoutDelivery(reason, rejection(it)) }
            val outcomes = attempt()
            if (outcomes.any(::deliver)) return null
            retryObstacle = if (outcomes.isEmpty()) "no other endpoint has a free slot" else obstacleAfter(outcomes)
            if (outcomes.isEmpty()) continue
            reason = outcomes.last().describe()
            outcomes.filterIsInstance<AttemptOutcome.Failure>().lastOrNull()?.let { lastFailure = it }
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

    /** Completes the response to the caller if [outcome] is one. Returns false if it is not. */
    private fun deliver(outcome: AttemptOutcome): Boolean {
        when (outcome) {
            is AttemptOutcome.Complete -> {
                context.recordFirstByte()
                onAnswerBegun()
                responder.respond(outcome.status, outcome.headers, outcome.body)
            }

            is AttemptOutcome.Delivered -> responder.completeStreaming()

            else -> return false
        }
        environment.quarantine.onAnswerCompleted(context)
        return true
    }

    /** Why the request may not be retried after attempts with [outcomes]; null when it may. */
    private fun obstacleAfter(outcomes: List<AttemptOutcome>): String? {
        val sent = outcomes.filterNot { it is AttemptOutcome.NotRun && !it.sent }
        if (sent.isEmpty()) return null
        sentAttempts += sent.size
        val allowance = environment.retryAllowance(context.service)
        return when {
            sent.any {
                it !is AttemptOutcome.NotRun
            } && !context.route.retryable -> "may have run and runs at most once"

            responder.started && !canContinue() -> "its last event has no id after which a stream can continue"

            sentAttempts >= context.route.maxAttempts -> "all attempts of the route are used"

            allowance.tryAcquire(TrafficLoop.nowMs(), environment.instanceCount()) -> null

            else -> "this instance's share of the retry budget is used up"
        }
    }

    private fun canContinue(): Boolean = splitter.lastEventId?.let(FieldText::isSendable) ?: false

    /**
     * The outcome of an attempt at one endpoint, or the outcomes of two that were in progress together, in the order in
     * which they ended; empty if there is no endpoint.
     */
    private suspend fun attempt(): List<AttemptOutcome> {
        val zone = context.trace.resultZones.maxByOrNull { it.value }?.key
        val choice = endpoints.await(zone)
        if (choice !is EndpointChoice.Chosen) return emptyList()
        val secondAttempts = environment.secondAttempts
        val outcomes = if (secondAttempts != null && mayRace()) {
            raced = true
            AttemptRace(context, environment, endpoints, secondAttempts, ::attemptAt).run(choice.pool)
        } else {
            listOf(singleAttemptAt(choice.pool))
        }
        if (context.route.retryable && outcomes.none { it.isResponse }) {
            examinations.forEach { it.join() }
        }
        examinations.clear()
        return outcomes
    }

    private suspend fun singleAttemptAt(pool: EndpointPool): AttemptOutcome {
        val startedAtMs = TrafficLoop.nowMs()
        val outcome = attemptAt(pool, attemptsBefore = sentAttempts, onStream = null)
        if (outcome is AttemptOutcome.Complete && context.route.stages.isEmpty()) {
            val nowMs = TrafficLoop.nowMs()
            environment.secondAttempts?.onPlainResponse(context.service, nowMs - startedAtMs, nowMs)
        }
        return outcome
    }

    private fun mayRace(): Boolean =
        sentAttempts == 0 && !raced && SecondAttemptPolicy.isInScope(context.route)

    private suspend fun attemptAt(pool: EndpointPool, attemptsBefore: Int, onStream: (() -> Unit)?): AttemptOutcome {
        endpoints.onTried(pool)
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
        val attempt = Attempt(context, pool, environment, responder, splitter, ::onAnswerBegun, onStream)
        val inputs = execution.inputs.map { it.handle }
        val outcome = attempt.run(inputs, lastEventId, headTimeoutMs(attemptsBefore))
        environment.metrics.recordAttempt(context.service, outcome)
        if (!outcome.isResponse) {
            logAttempt(pool.endpoint.id.value, outcome)
        }
        if (outcome is AttemptOutcome.NotRun && outcome.sent) {
            environment.secondAttempts?.onSaturated(context.service, TrafficLoop.nowMs())
        }
        if (outcome is AttemptOutcome.Lost) {
            environment.quarantine.onLost(context, pool, outcome)?.let { examinations += it }
        }
        return outcome
    }

    private fun onAnswerBegun() {
        execution.releaseAll()
        environment.quarantine.onAnswerBegun(context)
    }

    /** Timeout for the response head; leaves a retryable request time to retry if the endpoint does not respond. */
    private fun headTimeoutMs(attemptsBefore: Int): Long? {
        if (!context.route.retryable || attemptsBefore + 1 >= context.route.maxAttempts) return null
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
