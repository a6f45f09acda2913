package io.oriolehall.gateway.requests

import io.oriolehall.dispatch.admission.StageAdmission
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.http.Responder
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.write

/** Execution of one admitted request: its stages, then the attempts at endpoints. Used on the traffic thread only. */
internal class RequestExecution(
    private val context: RequestContext,
    private val responder: Responder,
    private val environment: RequestEnvironment,
) {
    private val endpoints = EndpointSelection(context, environment.chooser, environment.secondAttempts)

    /** Serves the request. Returns null when a response was written, else the rejection to send. */
    suspend fun serve(): Rejection? {
        val header = environment.wire.headers.pieceCounts
        val pieceCounts = StageExecution.parsePieceCounts(
            context.request.headers.get(header),
            context.route.stages.size,
        ) ?: return Rejection.Malformed("header $header does not name the pieces of each stage")
        val choice = endpoints.await(inputZone = null, minStageMs(context, pieceCounts))
        if (choice !is EndpointChoice.Chosen) return noEndpoint()
        val zone = choice.pool.endpoint.zone
        val execution = StageExecution(context, pieceCounts, environment.stages, environment.wire, zone)
        if (pieceCounts.any { it > 0 }) rejectIfOverloaded(execution)?.let { return it }
        logAdmitted()
        try {
            if (!execution.run()) return StageExecution.rejection(requireNotNull(execution.failure))
            return AttemptSequence(context, responder, environment, endpoints, execution).run()
        } finally {
            execution.releaseAll()
        }
    }

    private fun logAdmitted() = environment.log.write(
        Event.REQUEST_ADMITTED,
        "request" to context.attemptId,
        "route" to context.route.name,
        "organisation" to context.organisation?.id,
        "expectedMs" to context.trace.expectedMs,
        "leftMs" to context.remainingMs(),
        "configVersion" to context.plan.version,
    )

    private fun noEndpoint() =
        Rejection.NotExecuted(RefusalCause.NO_ENDPOINT, "no endpoint can be used", endpoints.retryAfterMs())

    private fun rejectIfOverloaded(execution: StageExecution): Rejection? {
        val nowMs = TrafficLoop.nowMs()
        val expectedMs = execution.expectedMs()
        context.trace.expectedMs = expectedMs.toLong()
        val decision = environment.stageAdmission.decide(
            expectedMs = expectedMs,
            objectiveMs = context.objectiveAtMs - nowMs,
            deadlineMs = context.remainingMs(nowMs),
            priority = context.priority,
            othersAreShedFirst = othersAreShedFirst(context),
        )
        if (decision !is StageAdmission.Decision.Refused) return null
        val reason = "stages take ${expectedMs.toLong()} ms now"
        return Rejection.NotExecuted(RefusalCause.OVERLOADED, reason, decision.retryAfterMs)
    }

    companion object {
        /** Least time that the stages take, milliseconds; a pause that ends before does not matter. */
        fun minStageMs(context: RequestContext, pieceCounts: List<Int>): Long = context.route.stages
            .filterIndexed { stage, _ -> pieceCounts[stage] > 0 }
            .maxOfOrNull { context.plan.service(it.service)?.pieces?.callMs ?: 0.0 }
            ?.toLong() ?: 0

        /** True when requests that are shed before [context] use the same stages. */
        fun othersAreShedFirst(context: RequestContext): Boolean =
            StageAdmission.isShedFirst(context.plan.lowestSharedPriority)
    }
}
