package io.oriolehall.gateway.requests

import io.oriolehall.dispatch.endpoints.SendDecision
import io.oriolehall.dispatch.endpoints.SendObstacle
import io.oriolehall.gateway.upstream.EndpointPool

/** The endpoint for an attempt, or why there is none. */
internal sealed interface EndpointChoice {
    data class Chosen(val pool: EndpointPool) : EndpointChoice

    /** All endpoints that could be tried are [denied]; none is registered if it is empty. */
    class None(private val denied: List<SendDecision.Denied>) : EndpointChoice {
        /** True when an endpoint may be free until [untilMs]: limits end with any request, pauses at a known time. */
        fun mayEndUntil(untilMs: Long): Boolean = denied.any {
            when (it.obstacle) {
                SendObstacle.COLD_LIMIT, SendObstacle.CONNECTION_LIMIT, SendObstacle.RAMPING_UP -> true
                SendObstacle.PAUSED -> (it.untilMs ?: Long.MAX_VALUE) <= untilMs
                else -> false
            }
        }

        /** When the first endpoint is back, monotonic milliseconds, if all of them pause. */
        val firstBackAtMs: Long?
            get() = denied.takeIf { all ->
                all.all { it.obstacle == SendObstacle.PAUSED }
            }?.mapNotNull { it.untilMs }?.minOrNull()
    }
}
