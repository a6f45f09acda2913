package io.oriolehall.gateway.quarantine

import io.oriolehall.dispatch.endpoints.EndpointRecord
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
    private val examinations = LossExaminations<Loss>(traffic.scope, ::onEndpointEnded)
    private var lastAnsweredAtMs: Long? = null
    private var rounds = 0L

    /** Registers the handlers on [server] and starts catching up with the other instances. */
    fun start(server: PeerServer, timers: TimerService) {
        server.answer(CrashChannels.NOTICE) { notice ->
            withContext(traffic.dispatcher) {
                quarantine.onNotice(notice).let { CrashNoticeAnswer(it.begun, it.completed) }
            }
        }
        server.answer(CrashChannels.KNOWN) { query ->
            withContext(traffic.dispatcher) { KnownCrashes(quarantine.known(query.maxAgeMs)) }
        }
        timers.every("crash exchange", ROUND_MS, JITTER_SHARE) { traffic.scope.launch { catchUp() } }
    }

    fun refusal(context: RequestContext): CrashQuarantine.Refusal? = quarantine.refusal(context.fingerprints)

    fun onAnswerBegun(context: RequestContext) = quarantine.onAnswerBegun(context.fingerprints)

    fun onAnswerCompleted(context: RequestContext) = quarantine.onAnswerCompleted(context.fingerprints)

    /**
     * Finds out whether the endpoint of [pool] ended while it ran [context], also when the caller leaves meanwhile.
     * Returns the job to wait for before the request is sent again.
     */
    fun onLost(context: RequestContext, pool: EndpointPool, outcome: AttemptOutcome.Lost): Job? =
        if (outcome.connectionFailed) examinations.examine(pool, Loss(context, outcome.answerBegun)) else null

    private fun onEndpointEnded(endpoint: EndpointRecord, lost: List<Loss>) {
        lost.forEach { recordLoss(endpoint, it) }
        quarantine.onEndpointEnded(endpoint.id, lost.map { LostRequest(it.context.fingerprints, it.answerBegun) })
    }

    private fun recordLoss(endpoint: EndpointRecord, request: Loss) {
        val context = request.context
        metrics.recordEndpointLoss(context.service, request.answerBegun)
        log.write(
            Event.ENDPOINT_ENDED,
            "request" to context.attemptId,
            "endpoint" to endpoint.id,
            "route" to context.route.name,
            "organisation" to context.organisation?.id,
            "answerBegun" to request.answerBegun,
            "promptParts" to context.sharedPromptParts,
        )
    }

    /** Learns what this instance has missed: at once after its start, then in every [ROUNDS_PER_EXCHANGE]th round. */
    private suspend fun catchUp() {
        quarantine.removeExpired()
        val lastAtMs = lastAnsweredAtMs
        if (lastAtMs != null && rounds++ % ROUNDS_PER_EXCHANGE != 0L) return
        val askedAtMs = TrafficLoop.nowMs()
        val maxAgeMs = if (lastAtMs == null) Long.MAX_VALUE else askedAtMs - lastAtMs + EXCHANGE_OVERLAP_MS
        val known = exchange.ask(CrashQuery(maxAgeMs)) ?: return
        lastAnsweredAtMs = askedAtMs
        quarantine.onNotice(CrashNotice(known.losses))
    }

    private class Loss(val context: RequestContext, val answerBegun: Boolean)

    private companion object {
        const val ROUND_MS = 500L
        const val JITTER_SHARE = 0.2
        const val ROUNDS_PER_EXCHANGE = 10

        /** Losses that the other instance heard of late are asked for again, milliseconds. */
        const val EXCHANGE_OVERLAP_MS = 10_000L
    }
}
