package io.oriolehall.gateway.requests

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.oriolehall.dispatch.admission.StageAdmission
import io.oriolehall.dispatch.admission.StopAdmission
import io.oriolehall.dispatch.endpoints.EndpointLife
import io.oriolehall.dispatch.limits.RepeatAllowance
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.http.CallerRequest
import io.oriolehall.gateway.http.RequestHandler
import io.oriolehall.gateway.http.Responder
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
 * Serves a caller's request from its admission to the end of its answer: runs its stages, chooses endpoints, sends it,
 * and sends it again only where that is allowed. Used on the traffic thread only.
 */
internal class RequestService(
    private val intake: Intake,
    private val stages: StageService,
    private val chooser: EndpointChooser,
    private val admission: StageAdmission,
    private val repeats: (String) -> RepeatAllowance,
    private val instances: () -> Int,
    private val wire: WireProtocol,
    private val stopping: () -> StopAdmission?,
    private val metrics: GatewayMetrics,
    private val log: EventLog,
) : RequestHandler {
    private val policy = HeaderPolicy(wire)

    override suspend fun serve(request: CallerRequest, responder: Responder) {
        val admitted = intake.admit(request)
        if (admitted.isErr) {
            reject(request, null, responder, admitted.error)
            return
        }
        val context = admitted.value
        if (stopping()?.admits(request.receivedAtMs, context.deadlineAtMs) == false) {
            val reason = "the instance stops before the request could end"
            reject(
                request,
                context,
                responder,
                Rejection.NotExecuted(RefusalCause.STOPPING, reason, ELSEWHERE_RETRY_MS),
            )
            return
        }
        repeats(context.service).onFirst(TrafficLoop.nowMs())
        val rejection = try {
            withTimeoutOrNull(context.leftMs()) { Run(context, responder).serve() ?: Served } ?: timeOut(context)
        } catch (e: CancellationException) {
            log.write(Event.CALLER_LEFT, describe(context))
            metrics.ended(context, "caller_left")
            throw e
        }
        if (rejection is Rejection) reject(request, context, responder, rejection) else noteAnswered(context)
    }

    private fun noteAnswered(context: RequestContext) {
        val firstMs = context.trace.firstMs
        if (firstMs == null) {
            log.write(Event.FAILURE_PASSED_ON, describe(context))
            metrics.ended(context, "endpoint_failure")
            return
        }
        val late = context.request.receivedAtMs + firstMs > context.objectiveAtMs
        log.write(if (late) Event.REQUEST_LATE else Event.REQUEST_SERVED, describe(context))
        metrics.answered(context, if (late) "late" else "on_time", firstMs)
    }

    private fun describe(context: RequestContext): List<Pair<String, Any?>> = listOf(
        "request" to context.attemptId,
        "route" to context.route.name,
        "organisation" to context.organisation?.id,
        "ms" to TrafficLoop.nowMs() - context.request.receivedAtMs,
    ) + context.trace.fields()

    private object Served

    private fun timeOut(context: RequestContext): Rejection = if (context.mayHaveRun) {
        Rejection.TimedOut("no answer in time")
    } else {
        Rejection.NotExecuted(RefusalCause.TIMED_OUT, "no endpoint could begin in time", 0)
    }

    private fun reject(request: CallerRequest, context: RequestContext?, responder: Responder, rejection: Rejection) {
        val truthful = rejection !is Rejection.NotExecuted
        val fields = listOf(
            "request" to request.headers.get(wire.headers.attemptId),
            "route" to context?.route?.name,
            "status" to rejection.status,
            "reason" to rejection.reason,
            "organisation" to context?.organisation?.id,
            "afterMs" to TrafficLoop.nowMs() - request.receivedAtMs,
            "configVersion" to context?.table?.config?.version,
        )
        val event = if (truthful) Event.REQUEST_FAILED else Event.REQUEST_REFUSED
        log.write(event, fields + context?.trace?.fields().orEmpty())
        metrics.rejected(context, rejection)
        if (responder.started) {
            responder.abort()
            return
        }
        val headers = DefaultHttpHeaders()
        request.headers.get(wire.headers.attemptId)?.let { headers.set(wire.headers.attemptId, it) }
        if (rejection is Rejection.NotExecuted && rejection.retryAfterMs > 0) {
            headers.set("Retry-After", String.format(Locale.ROOT, "%.3f", rejection.retryAfterMs / MS_PER_SECOND))
        }
        responder.full(rejection.status, headers, ByteArray(0))
    }

    /** One request on its way. */
    private inner class Run(private val context: RequestContext, private val responder: Responder) {
        private val events = EventSplitter()
        private val tried = mutableSetOf<EndpointLife>()
        private var lastFailure: AttemptOutcome.Failure? = null
        private var plan: StagePlan? = null

        /** Serves the request; returns what the caller is told instead, if it has no answer. */
        suspend fun serve(): Rejection? {
            val counts = StagePlan.counts(
                context.request.headers.get(wire.headers.pieceCounts),
                context.route.stages.size,
            ) ?: return Rejection.Malformed("header ${wire.headers.pieceCounts} does not name the pieces of each stage")
            val target = choose(null) ?: return noEndpoint()
            val plan = StagePlan(context, counts, stages, wire, target.endpoint.zone)
            if (counts.any { it > 0 }) refuseByLoad(plan)?.let { return it }
            noteAdmitted()
            this.plan = plan
            try {
                if (!plan.run()) return StagePlan.rejection(requireNotNull(plan.failure))
                return attempts(plan)
            } finally {
                plan.releaseAll()
            }
        }

        private fun noteAdmitted() = log.write(
            Event.REQUEST_ADMITTED,
            "request" to context.attemptId,
            "route" to context.route.name,
            "organisation" to context.organisation?.id,
            "expectedMs" to context.trace.expectedMs,
            "leftMs" to context.leftMs(),
            "configVersion" to context.table.config.version,
        )

        private fun noEndpoint() =
            Rejection.NotExecuted(RefusalCause.NO_ENDPOINT, "no endpoint can be used", NO_ENDPOINT_RETRY_MS)

        private fun refuseByLoad(plan: StagePlan): Rejection? {
            val nowMs = TrafficLoop.nowMs()
            val expectedMs = plan.expectedMs()
            context.trace.expectedMs = expectedMs.toLong()
            val decision = admission.decide(
                expectedMs = expectedMs,
                objectiveMs = context.objectiveAtMs - nowMs,
                deadlineMs = context.leftMs(nowMs),
                priority = context.priority,
                othersGiveWay = StageAdmission.givesWay(context.table.lowestRankBeside(context.route)),
            )
            if (decision !is StageAdmission.Decision.Refused) return null
            val reason = "stages take ${expectedMs.toLong()} ms now"
            return Rejection.NotExecuted(RefusalCause.OVERLOADED, reason, decision.retryAfterMs)
        }

        private suspend fun attempts(plan: StagePlan): Rejection? {
            val inputs = plan.inputs
            val zones = inputs.groupingBy { it.zone }.eachCount()
            val zone = zones.maxByOrNull { it.value }?.key
            context.trace.resultZones = zones
            if (inputs.isNotEmpty()) context.trace.stagesMs = TrafficLoop.nowMs() - context.request.receivedAtMs
            var sends = 0
            var reason = "no endpoint can be used"
            var obstacle: String? = null
            while (obstacle == null) {
                val outcome = attempt(inputs.map { it.handle }, zone)
                if (outcome is AttemptOutcome.Delivered) return null
                obstacle = if (outcome == null) "no other endpoint has a place" else obstacleAfter(outcome, ++sends)
                if (outcome == null) continue
                reason = outcome.describe()
                if (outcome is AttemptOutcome.Failure) lastFailure = outcome
                events.dropRemainder()
            }
            context.trace.notSentAgain = obstacle
            return conclude(reason)
        }

        /** Why [outcome] may not be followed by another send; null when it may. */
        private fun obstacleAfter(outcome: AttemptOutcome, sends: Int): String? = when {
            outcome !is AttemptOutcome.NotRun && !context.route.repeatable -> "may have run and runs at most once"
            sends >= context.route.maxAttempts -> "all attempts of the route are used"
            repeats(context.service).tryTake(TrafficLoop.nowMs(), instances()) -> null
            else -> "no repeat is left in this instance's part"
        }

        private suspend fun attempt(inputs: List<String>, zone: ZoneId?): AttemptOutcome? {
            val pool = choose(zone) ?: return null
            tried += pool.endpoint.life
            context.trace.sends++
            context.trace.endpoint = pool.endpoint.id
            context.trace.endpointZone = pool.endpoint.zone
            val lastEventId = events.lastEventId
            if (lastEventId != null) {
                log.write(
                    Event.STREAM_RESUMED,
                    "request" to context.attemptId,
                    "endpoint" to pool.endpoint.id,
                    "after" to lastEventId,
                )
            }
            val attempt = Attempt(context, pool, wire, policy, responder, events) { plan?.releaseAll() }
            val outcome = attempt.run(inputs, lastEventId, headTimeoutMs())
            metrics.attempted(context.service, outcome)
            if (outcome !is AttemptOutcome.Delivered) logAttempt(pool.endpoint.id.value, outcome)
            return outcome
        }

        /**
         * An endpoint, or null when none has a place within a small part of the objective: connections and the second
         * of a cold limit come free soon.
         */
        private suspend fun choose(inputZone: ZoneId?): EndpointPool? {
            val untilMs = TrafficLoop.nowMs() + (context.route.objectiveMs * PLACE_WAIT_SHARE).toLong()
            while (true) {
                chooser.choose(context, inputZone, tried)?.let { return it }
                if (!chooser.mayComeFree(context, tried) || TrafficLoop.nowMs() >= untilMs) return null
                delay(PLACE_POLL_MS)
            }
        }

        /** A request that may be repeated is not left at a silent endpoint for all of its time. */
        private fun headTimeoutMs(): Long? {
            if (!context.route.repeatable || tried.size >= context.route.maxAttempts) return null
            return maxOf(MIN_HEAD_TIMEOUT_MS, (context.route.objectiveMs * HEAD_TIMEOUT_SHARE).toLong())
        }

        private fun logAttempt(endpoint: String, outcome: AttemptOutcome) = log.write(
            Event.ATTEMPT_FAILED,
            "request" to context.attemptId,
            "endpoint" to endpoint,
            "outcome" to outcome.describe(),
            "leftMs" to context.leftMs(),
        )

        private fun conclude(reason: String): Rejection? {
            val failure = lastFailure
            return when {
                responder.started -> Rejection.OutcomeUnknown(reason)

                failure != null -> {
                    context.trace.failureStatus = failure.status
                    responder.full(failure.status, failure.headers, failure.body)
                    null
                }

                context.mayHaveRun -> Rejection.OutcomeUnknown(reason)

                else -> Rejection.NotExecuted(RefusalCause.DECLINED, reason, NO_ENDPOINT_RETRY_MS)
            }
        }
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val NO_ENDPOINT_RETRY_MS = 250L

        /** Another instance can serve at once; callers that come back are spread a little by their own arrival. */
        const val ELSEWHERE_RETRY_MS = 50L
        const val HEAD_TIMEOUT_SHARE = 0.8
        const val MIN_HEAD_TIMEOUT_MS = 150L

        /** Part of the objective that a request waits for a place at an endpoint before it is refused. */
        const val PLACE_WAIT_SHARE = 0.125
        const val PLACE_POLL_MS = 5L
    }
}
