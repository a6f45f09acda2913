package io.oriolehall.gateway.requests

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.oriolehall.dispatch.admission.ShutdownAdmission
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.http.CallerRequest
import io.oriolehall.gateway.http.RequestHandler
import io.oriolehall.gateway.http.Responder
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.write
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import kotlinx.coroutines.withTimeoutOrNull
import java.util.Locale

/**
 * Serves a caller's request from admission to the end of the response, and records its end. Used on the traffic thread
 * only.
 */
internal class RequestService(
    private val requestAdmission: RequestAdmission,
    private val environment: RequestEnvironment,
    private val shutdownAdmission: () -> ShutdownAdmission?,
) : RequestHandler {
    private val wire = environment.wire
    private val metrics = environment.metrics
    private val log = environment.log
    private val executions = HashSet<Job>()

    /**
     * Ends all executions because the instance stops. Their callers are told whether the request may have run. Returns
     * the number of executions.
     */
    fun endExecutions(): Int {
        val ended = executions.toList()
        ended.forEach { it.cancel(InstanceStopping()) }
        return ended.size
    }

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
        environment.quarantine.refusal(context)?.let {
            reject(request, context, responder, AttemptSequence.rejection(it))
            return
        }
        environment.retryAllowance(context.service).onFirstAttempt(TrafficLoop.nowMs())
        val execution = RequestExecution(context, responder, environment)
        val rejection = try {
            withTimeoutOrNull(context.remainingMs()) { registered { execution.serve() ?: ResponseSent } }
                ?: timeoutRejection(context)
        } catch (e: InstanceStopping) {
            stopRejection(context, e)
        } catch (e: CancellationException) {
            log.write(Event.CALLER_LEFT, logFields(context))
            metrics.recordEnded(context, "caller_left")
            throw e
        }
        if (rejection is Rejection) reject(request, context, responder, rejection) else recordCompletion(context)
    }

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

    /** The instance stops before an execution has ended. */
    private class InstanceStopping : CancellationException("the instance stops")

    /** Runs [execution] so that [endExecutions] can end it. */
    private suspend fun <T> registered(execution: suspend () -> T): T {
        val job = currentCoroutineContext().job
        executions += job
        try {
            return execution()
        } finally {
            executions -= job
        }
    }

    private fun stopRejection(context: RequestContext, cause: InstanceStopping): Rejection {
        val reason = "${cause.message} before the request ended"
        return if (context.mayHaveRun) {
            Rejection.OutcomeUnknown(reason)
        } else {
            Rejection.NotExecuted(RefusalCause.STOPPING, reason, OTHER_INSTANCE_RETRY_AFTER_MS)
        }
    }

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
            "configVersion" to context?.plan?.version,
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

    private companion object {
        const val MS_PER_SECOND = 1_000.0

        /**
         * Short, because another instance can serve the request at once; retries are spread a little because the
         * requests arrived at different times.
         */
        const val OTHER_INSTANCE_RETRY_AFTER_MS = 50L
    }
}
