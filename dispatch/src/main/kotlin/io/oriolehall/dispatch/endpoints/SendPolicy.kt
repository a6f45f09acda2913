package io.oriolehall.dispatch.endpoints

/** Why an endpoint must not receive a request now. */
enum class SendObstacle {
    NOT_REGISTERED,
    DRAINING,
    ZONE_EVACUATED,

    /** The endpoint has said in an answer to this instance that it leaves. */
    LEAVING,

    /** The endpoint wants no requests from this instance for a time. */
    PAUSED,

    /** The endpoint's pause has ended lately, and its requests in flight are as many as it gets for now. */
    RAMPING_UP,
    COLD_LIMIT,
    CONNECTION_LIMIT,
}

/** Whether a request may be sent to an endpoint. */
sealed interface SendDecision {
    /** Endpoints of the lowest [rank] are used, the others only if there are none. */
    data class Allowed(val rank: Int) : SendDecision

    /** [untilMs] is when the obstacle ends, monotonic milliseconds, or null if that is not known. */
    data class Denied(val obstacle: SendObstacle, val untilMs: Long? = null) : SendDecision
}

/**
 * What is known of an endpoint when a request is about to be sent to it. Times are monotonic milliseconds.
 *
 * @property published the obstacle in the published state, if there is one.
 * @property outstanding unfinished requests of this instance at the endpoint.
 * @property excluded true while requests avoid it because of recent failures.
 * @property zoneUnreachable true when this instance reaches none of the instances in its zone.
 * @property withinColdLimit true when one more request keeps to this instance's share of the limit for cold endpoints.
 * @property connectionFree true when a connection is idle or another one may be opened.
 */
data class EndpointCondition(
    val published: SendObstacle?,
    val leaving: Boolean,
    val pause: EndpointPause?,
    val outstanding: Int = 0,
    val excluded: Boolean = false,
    val zoneUnreachable: Boolean = false,
    val withinColdLimit: Boolean = true,
    val connectionFree: Boolean = true,
)

/** Decides whether a request may be sent to an endpoint. All senders ask it; docs/design/sending.md lists them. */
object SendPolicy {
    fun decide(condition: EndpointCondition, nowMs: Long): SendDecision {
        val pause = condition.pause
        return when {
            condition.leaving -> SendDecision.Denied(SendObstacle.LEAVING)

            condition.published != null -> SendDecision.Denied(condition.published)

            pause != null && nowMs < pause.untilMs -> SendDecision.Denied(SendObstacle.PAUSED, pause.untilMs)

            pause != null && condition.outstanding >= pause.maxOutstanding(nowMs) ->
                SendDecision.Denied(SendObstacle.RAMPING_UP)

            !condition.withinColdLimit -> SendDecision.Denied(SendObstacle.COLD_LIMIT)

            !condition.connectionFree -> SendDecision.Denied(SendObstacle.CONNECTION_LIMIT)

            else -> SendDecision.Allowed(rank(condition))
        }
    }

    private fun rank(condition: EndpointCondition): Int =
        (if (condition.zoneUnreachable) UNREACHABLE_RANK else 0) + (if (condition.excluded) EXCLUDED_RANK else 0)

    private const val UNREACHABLE_RANK = 2
    private const val EXCLUDED_RANK = 1
}
