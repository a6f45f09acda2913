package io.oriolehall.gateway.quarantine

import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.requests.AttemptOutcome
import io.oriolehall.gateway.requests.GatewayMetrics
import io.oriolehall.gateway.requests.RequestContext
import io.oriolehall.gateway.upstream.EndpointPool
import io.oriolehall.peer.PeerServer
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

/**
 * Connects the [CrashQuarantine] with lost requests and with the other instances. Apart from [start], used on the
 * traffic thread only.
 */
internal class QuarantineService(
    private val quarantine: CrashQuarantine,
    private val exchange: CrashExchange,
    private val traffic: TrafficLoop,
    private val metrics: GatewayMetrics,
    private val log: EventLog,
) {
    private val probe = EndpointLossProbe(traffic.scope)
    private var hasAsked = false
    private var rounds = 0L

    /** Registers the handlers on [server] and starts catching up with the other instances. */
    fun start(server: PeerServer, timers: TimerService) {
        server.answer(CrashChannels.NOTICE) { notice ->
            withContext(traffic.dispatcher) { CrashNoticeAnswer(quarantine.onNotice(notice)) }
        }
        server.answer(CrashChannels.KNOWN) { withContext(traffic.dispatcher) { KnownCrashes(quarantine.known()) } }
        timers.every("crash exchange", ROUND_MS, JITTER_SHARE) { traffic.scope.launch { catchUp() } }
    }

    fun refusal(context: RequestContext): CrashQuarantine.Refusal? = quarantine.refusal(context.fingerprints)

    fun onAnswerBegun(context: RequestContext) = quarantine.onAnswerBegun(context.fingerprints)

    /**
     * Finds out whether the endpoint of [pool] ended while it ran [context], also when the caller leaves meanwhile.
     * Returns the job to wait for before the request is sent again.
     */
    fun onLost(context: RequestContext, pool: EndpointPool, outcome: AttemptOutcome.Lost): Job? {
        if (!outcome.connectionFailed) return null
        return traffic.scope.launch { if (probe.hasEnded(pool)) recordLoss(context, pool, outcome) }
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
        if (!outcome.answerBegun) quarantine.onEndpointEnded(context.fingerprints, pool.endpoint.id)
    }

    /** Learns what this instance has missed: at once after its start, then in every [ROUNDS_PER_EXCHANGE]th round. */
    private suspend fun catchUp() {
        quarantine.removeExpired()
        if (hasAsked && rounds++ % ROUNDS_PER_EXCHANGE != 0L) return
        val known = exchange.ask() ?: return
        hasAsked = true
        quarantine.onNotice(CrashNotice(known.losses))
    }

    private companion object {
        const val ROUND_MS = 500L
        const val JITTER_SHARE = 0.2
        const val ROUNDS_PER_EXCHANGE = 10
    }
}
