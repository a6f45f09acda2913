package io.oriolehall.gateway.requests

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.oriolehall.dispatch.admission.ShutdownAdmission
import io.oriolehall.dispatch.admission.StageAdmission
import io.oriolehall.dispatch.endpoints.EndpointIncarnation
import io.oriolehall.dispatch.limits.RetryAllowance
import io.oriolehall.gateway.SocketPolls
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.http.CallerRequest
import io.oriolehall.gateway.http.RequestHandler
import io.oriolehall.gateway.http.Responder
import io.oriolehall.gateway.quarantine.CrashQuarantine
import io.oriolehall.gateway.quarantine.QuarantineService
import io.oriolehall.gateway.stages.StageService
import io.oriolehall.gateway.upstream.EndpointPool
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.model.ZoneId
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.write
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.Locale

/**
 * Serves a caller's request from admission to the end of the response: runs its stages, chooses endpoints, sends the
 * request, and retries it only where that is allowed. Used on the traffic thread only.
 */
internal class RequestService(
    private val requestAdmission: RequestAdmission,
    private val stages: StageService,
    private val chooser: EndpointChooser,
    private val admission: StageAdmission,
    private val retryAllowance: (String) -> RetryAllowance,
    private val instanceCount: () -> Int,
    private val wire: WireProtocol,
    private val shutdownAdmission: () -> ShutdownAdmission?,
    private val metrics: GatewayMetrics,
    private val log: EventLog,
    private val polls: SocketPolls,
    private val quarantine: QuarantineService,
) : RequestHandler {
    private val headerPolicy = HeaderPolicy(wire)

    override suspend fun serve(request: CallerRequest, responder: Responder) {
        val admitted = requestAdmission.admit(request)
        if (admitted.isErr) {
            reject(request, null, responder, admitted.error)
            return
        }
        val context = admitted.value
        if (shutdownAdmission()?.admits(request.receivedAtMs, context.deadlineAtMs) == false) {
            val reason = "the instance stops before the request could end"
            reject(
                request,
                context,
                responder,
                Rejection.NotExecuted(RefusalCause.STOPPING, reason, OTHER_INSTANCE_RETRY_AFTER_MS),
            )
            return
        }
        quarantine.refusal(context)?.let {
            reject(request, context, responder, it.rejection())
            return
        }
        retryAllowance(context.service).onFirstAttempt(TrafficLoop.nowMs())
        val rejection = try {
            withTimeoutOrNull(context.remainingMs()) { RequestExecution(context, responder).serve() ?: ResponseSent }
                ?: timeoutRejection(context)
        } catch (e: CancellationException) {
            log.write(Event.CALLER_LEFT, logFields(context))
            metrics.recordEnded(context, "caller_left")
            throw e
        }
        if (rejection is Rejection) reject(request, context, responder, rejection) else recordCompletion(context)
    }

    private fun CrashQuarantine.Refusal.rejection() = Rejection.NotExecuted(
        RefusalCause.QUARANTINED,
        "endpoints ended while they ran requests with fingerprint $fingerprint; change the prompt",
        remainingMs,
    )

    private fun recordCompletion(context: RequestContext) {
        val firstByteMs = context.trace.firstByteMs
        if (firstByteMs == null) {
            log.write(Event.FAILURE_PASSED_ON, logFields(context))
            metrics.recordEnded(context, "endpoint_failure")
            return
        }
        val late = context.request.receivedAtMs + firstByteMs > context.objectiveAtMs
        log.write(if (late) Event.REQUEST_LATE else Event.REQUEST_SERVED, logFields(context))
        metrics.recordCompleted(context, if (late) "late" else "on_time", firstByteMs)
    }

    private fun logFields(context: RequestContext): List<Pair<String, Any?>> = listOf(
        "request" to context.attemptId,
        "route" to context.route.name,
        "organisation" to context.organisation?.id,
        "ms" to TrafficLoop.nowMs() - context.request.receivedAtMs,
    ) + context.trace.fields()

    private object ResponseSent

    private fun timeoutRejection(context: RequestContext): Rejection = if (context.mayHaveRun) {
        Rejection.TimedOut("no answer in time")
    } else {
        Rejection.NotExecuted(RefusalCause.TIMED_OUT, "no endpoint could begin in time", 0)
    }

    private fun reject(request: CallerRequest, context: RequestContext?, responder: Responder, rejection: Rejection) {
        val isFailure = rejection !is Rejection.NotExecuted
        val fields = listOf(
            "request" to request.headers.get(wire.headers.attemptId),
            "route" to context?.route?.name,
            "status" to rejection.status,
            "reason" to rejection.reason,
            "organisation" to context?.organisation?.id,
            "afterMs" to TrafficLoop.nowMs() - request.receivedAtMs,
            "configVersion" to context?.table?.config?.version,
        )
        val event = if (isFailure) Event.REQUEST_FAILED else Event.REQUEST_REFUSED
        log.write(event, fields + context?.trace?.fields().orEmpty())
        metrics.recordRejected(context, rejection)
        if (responder.started) {
            responder.abort()
            return
        }
        val headers = DefaultHttpHeaders()
        request.headers.get(wire.headers.attemptId)?.let { headers.set(wire.headers.attemptId, it) }
        if (rejection is Rejection.NotExecuted && rejection.retryAfterMs > 0) {
            headers.set("Retry-After", String.format(Locale.ROOT, "%.3f", rejection.retryAfterMs / MS_PER_SECOND))
        }
        responder.respond(rejection.status, headers, ByteArray(0))
    }

    /** Execution of one admitted request. */
    private inner class RequestExecution(private val context: RequestContext, private val responder: Responder) {
        private val splitter = EventSplitter()
        private val triedEndpoints = mutableSetOf<EndpointIncarnation>()
        private var lastFailure: AttemptOutcome.Failure? = null
        private var execution: StageExecution? = null

        /** Serves the request. Returns null when a response was written, else the rejection to send. */
        suspend fun serve(): Rejection? {
            val pieceCounts = StageExecution.parsePieceCounts(
                context.request.headers.get(wire.headers.pieceCounts),
                context.route.stages.size,
            ) ?: return Rejection.Malformed("header ${wire.headers.pieceCounts} does not name the pieces of each stage")
            val chosen = awaitEndpoint(null) ?: return noEndpoint()
            val execution = StageExecution(context, pieceCounts, stages, wire, chosen.endpoint.zone)
            if (pieceCounts.any { it > 0 }) rejectIfOverloaded(execution)?.let { return it }
            logAdmitted()
            this.execution = execution
            try {
                if (!execution.run()) return StageExecution.rejection(requireNotNull(execution.failure))
                return runAttempts(execution)
            } finally {
                execution.releaseAll()
            }
        }

        private fun logAdmitted() = log.write(
            Event.REQUEST_ADMITTED,
            "request" to context.attemptId,
            "route" to context.route.name,
            "organisation" to context.organisation?.id,
            "expectedMs" to context.trace.expectedMs,
            "leftMs" to context.remainingMs(),
            "configVersion" to context.table.config.version,
        )

        private fun noEndpoint() =
            Rejection.NotExecuted(RefusalCause.NO_ENDPOINT, "no endpoint can be used", NO_ENDPOINT_RETRY_AFTER_MS)

        private fun rejectIfOverloaded(execution: StageExecution): Rejection? {
            val nowMs = TrafficLoop.nowMs()
            val expectedMs = execution.expectedMs()
            context.trace.expectedMs = expectedMs.toLong()
            val decision = admission.decide(
                expectedMs = expectedMs,
                objectiveMs = context.objectiveAtMs - nowMs,
                deadlineMs = context.remainingMs(nowMs),
                priority = context.priority,
                othersAreShedFirst = StageAdmission.isShedFirst(
                    context.table.lowestPrioritySharingStages(context.route),
                ),
            )
            if (decision !is StageAdmission.Decision.Refused) return null
            val reason = "stages take ${expectedMs.toLong()} ms now"
            return Rejection.NotExecuted(RefusalCause.OVERLOADED, reason, decision.retryAfterMs)
        }

        private suspend fun runAttempts(execution: StageExecution): Rejection? {
            val inputs = execution.inputs
            val zones = inputs.groupingBy { it.zone }.eachCount()
            val zone = zones.maxByOrNull { it.value }?.key
            context.trace.resultZones = zones
            if (inputs.isNotEmpty()) context.trace.stagesMs = TrafficLoop.nowMs() - context.request.receivedAtMs
            var attempts = 0
            var reason = "no endpoint can be used"
            var retryObstacle: String? = null
            while (retryObstacle == null) {
                quarantine.refusal(context)?.let { return finishWithoutDelivery(reason, it.rejection()) }
                val outcome = attempt(inputs.map { it.handle }, zone)
                if (outcome is AttemptOutcome.Delivered) return null
                retryObstacle =
                    if (outcome == null) "no other endpoint has a free slot" else obstacleAfter(outcome, ++attempts)
                if (outcome == null) continue
                reason = outcome.describe()
                if (outcome is AttemptOutcome.Failure) lastFailure = outcome
                splitter.dropIncompleteEvent()
            }
            context.trace.retryObstacle = retryObstacle
            val declined = Rejection.NotExecuted(RefusalCause.DECLINED, reason, NO_ENDPOINT_RETRY_AFTER_MS)
            return finishWithoutDelivery(reason, declined)
        }

        /** Why the request may not be retried after [outcome]; null when it may. */
        private fun obstacleAfter(outcome: AttemptOutcome, attempts: Int): String? = when {
            outcome !is AttemptOutcome.NotRun && !context.route.retryable -> "may have run and runs at most once"
            attempts >= context.route.maxAttempts -> "all attempts of the route are used"
            retryAllowance(context.service).tryAcquire(TrafficLoop.nowMs(), instanceCount()) -> null
            else -> "this instance's share of the retry budget is used up"
        }

        private suspend fun attempt(inputs: List<String>, zone: ZoneId?): AttemptOutcome? {
            val pool = awaitEndpoint(zone) ?: return null
            triedEndpoints += pool.endpoint.incarnation
            context.trace.attempts++
            context.trace.endpoint = pool.endpoint.id
            context.trace.endpointZone = pool.endpoint.zone
            val lastEventId = splitter.lastEventId
            if (lastEventId != null) {
                log.write(
                    Event.STREAM_RESUMED,
                    "request" to context.attemptId,
                    "endpoint" to pool.endpoint.id,
                    "after" to lastEventId,
                )
            }
            val attempt =
                Attempt(context, pool, wire, headerPolicy, responder, splitter, polls) { onAnswerBegun() }
            val outcome = attempt.run(inputs, lastEventId, headTimeoutMs())
            metrics.recordAttempt(context.service, outcome)
            if (outcome !is AttemptOutcome.Delivered) logAttempt(pool.endpoint.id.value, outcome)
            if (outcome is AttemptOutcome.Lost) {
                val examination = quarantine.onLost(context, pool, outcome)
                if (context.route.retryable) examination?.join()
            }
            return outcome
        }

        private fun onAnswerBegun() {
            execution?.releaseAll()
            quarantine.onAnswerBegun(context)
        }

        /**
         * Chooses an endpoint. If all are at their connection limit or cold rate limit, waits for a small share of the
         * objective, because both limits soon permit another request. Returns null when no endpoint becomes available.
         */
        private suspend fun awaitEndpoint(inputZone: ZoneId?): EndpointPool? {
            val untilMs = TrafficLoop.nowMs() + (context.route.objectiveMs * SLOT_WAIT_SHARE).toLong()
            while (true) {
                chooser.choose(context, inputZone, triedEndpoints)?.let { return it }
                if (!chooser.mayBecomeAvailable(context, triedEndpoints) || TrafficLoop.nowMs() >= untilMs) return null
                delay(SLOT_POLL_MS)
            }
        }

        /** Timeout for the response head; leaves a retryable request time to retry if the endpoint does not respond. */
        private fun headTimeoutMs(): Long? {
            if (!context.route.retryable || triedEndpoints.size >= context.route.maxAttempts) return null
            return maxOf(MIN_HEAD_TIMEOUT_MS, (context.route.objectiveMs * HEAD_TIMEOUT_SHARE).toLong())
        }

        private fun logAttempt(endpoint: String, outcome: AttemptOutcome) = log.write(
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
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val NO_ENDPOINT_RETRY_AFTER_MS = 250L

        /**
         * Short, because another instance can serve the request at once; retries are spread a little because the
         * requests arrived at different times.
         */
        const val OTHER_INSTANCE_RETRY_AFTER_MS = 50L

        /** Share of the objective that a retryable attempt waits for the response head. */
        const val HEAD_TIMEOUT_SHARE = 0.8
        const val MIN_HEAD_TIMEOUT_MS = 150L

        /** Share of the objective that a request waits for an endpoint within its limits before it is rejected. */
        const val SLOT_WAIT_SHARE = 0.125
        const val SLOT_POLL_MS = 5L
    }
}
