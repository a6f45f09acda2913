package io.oriolehall.gateway.requests

import io.oriolehall.dispatch.config.Route
import io.oriolehall.dispatch.endpoints.EndpointIncarnation
import io.oriolehall.dispatch.retries.SecondAttempts
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.upstream.EndpointPool
import io.oriolehall.model.ZoneId
import kotlinx.coroutines.delay

/**
 * Chooses the endpoints of one request, each of them at most once.
 *
 * @param secondAttempts is told when the request waits for an endpoint; null if they are off.
 */
internal class EndpointSelection(
    private val context: RequestContext,
    private val chooser: EndpointChooser,
    private val secondAttempts: SecondAttempts?,
) {
    private val tried = mutableSetOf<EndpointIncarnation>()

    /**
     * Chooses an endpoint for a request that is sent in [leadMs]. If all are at their limits or end a pause soon, waits
     * for a small share of the objective.
     */
    suspend fun await(inputZone: ZoneId?, leadMs: Long = 0): EndpointChoice {
        val untilMs = TrafficLoop.nowMs() + maxWaitMs(context.route)
        while (true) {
            val nowMs = TrafficLoop.nowMs()
            val choice = chooser.choose(context, inputZone, tried, nowMs + leadMs)
            if (choice !is EndpointChoice.None || nowMs >= untilMs ||
                !choice.mayEndUntil(untilMs + leadMs)
            ) {
                return choice
            }
            secondAttempts?.onSaturated(context.service, nowMs)
            delay(SLOT_POLL_MS)
        }
    }

    /** Chooses an endpoint for a second attempt beside one that is in progress; null if none may get it. */
    fun forSecondAttempt(): EndpointPool? = chooser.chooseForSecondAttempt(context, tried)

    /** Slots of the endpoints of the service, without those that pause. */
    fun slots(): Int = chooser.slots(context.service)

    /** Records that the endpoint of [pool] gets an attempt. */
    fun onTried(pool: EndpointPool) {
        tried += pool.endpoint.incarnation
    }

    /**
     * When a caller that is refused now should come back, in milliseconds: when the first paused endpoint is back if
     * all of them pause, or else soon. 0 if its time does not last until then.
     */
    fun retryAfterMs(): Long {
        val choice = chooser.choose(context, inputZone = null, tried = emptySet())
        val backAtMs = (choice as? EndpointChoice.None)?.firstBackAtMs ?: return DEFAULT_RETRY_AFTER_MS
        val waitMs = backAtMs - TrafficLoop.nowMs()
        return if (waitMs < context.remainingMs()) waitMs else 0
    }

    companion object {
        /** Longest wait of a request on [route] for an endpoint that may become free, milliseconds. */
        fun maxWaitMs(route: Route): Long = (route.objectiveMs * SLOT_WAIT_SHARE).toLong()

        /** Share of the objective that a request waits for an endpoint within its limits before it is rejected. */
        private const val SLOT_WAIT_SHARE = 0.125
        private const val SLOT_POLL_MS = 5L
        private const val DEFAULT_RETRY_AFTER_MS = 250L
    }
}
