package io.oriolehall.gateway.quarantine

import io.oriolehall.gateway.requests.AttemptOutcome
import io.oriolehall.gateway.requests.GatewayMetrics
import io.oriolehall.gateway.requests.RequestContext
import io.oriolehall.gateway.upstream.EndpointPool
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

/** Records under which requests endpoints end. Used on the traffic thread only. */
internal class CrashQuarantine(
    private val scope: CoroutineScope,
    private val metrics: GatewayMetrics,
    private val log: EventLog,
) {
    private val probe = EndpointLossProbe(scope)

    /** Finds out whether the endpoint of [pool] ended while it ran [context], also when the caller leaves meanwhile. */
    fun onLost(context: RequestContext, pool: EndpointPool, outcome: AttemptOutcome.Lost): Job? {
        if (outcome.timedOut) return null
        return scope.launch { if (probe.hasEnded(pool)) recordLoss(context, pool, outcome) }
    }

    private fun recordLoss(context: RequestContext, pool: EndpointPool, outcome: AttemptOutcome.Lost) {
        metrics.recordEndpointLoss(context.service, outcome.answerBegun)
        log.write(
            Event.ENDPOINT_ENDED,
            "request" to context.attemptId,
            "endpoint" to pool.endpoint.id,
            "route" to context.route.name,
            "organisation" to context.organisation?.id,
            "answerBegun" to outcome.answerBegun,
            "promptParts" to context.sharedPromptParts,
        )
    }
}
