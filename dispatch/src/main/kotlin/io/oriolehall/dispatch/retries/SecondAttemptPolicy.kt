package io.oriolehall.dispatch.retries

import io.oriolehall.dispatch.config.Route
import io.oriolehall.dispatch.config.RouteKind
import io.oriolehall.dispatch.endpoints.EndpointCondition
import io.oriolehall.dispatch.endpoints.SendDecision
import io.oriolehall.dispatch.endpoints.SendPolicy

/** Why a slow request gets no second attempt. */
enum class SecondAttemptObstacle {
    /** The response times of the route are not known well enough for a delay. */
    FEW_OBSERVATIONS,
    ROUTE_ATTEMPTS,
    TIME_LEFT,
    REQUEST_SHARE,
    WORK_SHARE,
    NO_CAPACITY,

    /** No other endpoint may get a second attempt. */
    NO_ENDPOINT,
    RETRY_BUDGET,
}

/**
 * What is known of a request whose first attempt is slow.
 *
 * @property sentAttempts attempts that the request has had, the slow one included.
 * @property remainingMs time until its deadline, milliseconds.
 * @property neededMs time in which a second attempt most likely completes, milliseconds.
 * @property idleCapacity true if the service has idle capacity as far as this instance knows.
 * @property endpointFree true if another endpoint may get a second attempt.
 */
data class SlowRequest(
    val sentAttempts: Int,
    val maxAttempts: Int,
    val remainingMs: Long,
    val neededMs: Long,
    val idleCapacity: Boolean,
    val endpointFree: Boolean,
)

/** Decides which requests may get a second attempt while the first one is in progress, and at which endpoints. */
object SecondAttemptPolicy {
    /**
     * True for requests that may run twice and have a plain response. Requests with stages are left out, because both
     * attempts would fetch the stage results.
     */
    fun isInScope(route: Route): Boolean =
        route.kind == RouteKind.IDEMPOTENT && route.stages.isEmpty() && route.maxAttempts > 1

    /** Why [request] gets no second attempt, apart from the operators' limits and the retry budget; null if it may. */
    fun obstacle(request: SlowRequest): SecondAttemptObstacle? = when {
        request.sentAttempts >= request.maxAttempts -> SecondAttemptObstacle.ROUTE_ATTEMPTS
        request.remainingMs < request.neededMs -> SecondAttemptObstacle.TIME_LEFT
        !request.endpointFree -> SecondAttemptObstacle.NO_ENDPOINT
        !request.idleCapacity -> SecondAttemptObstacle.NO_CAPACITY
        else -> null
    }

    /**
     * True if an endpoint with [slots] may get a second attempt: it is allowed every request, not only when others
     * fail, ramps up after no pause, is not [cold], and has a slot that this instance does not use.
     */
    fun permits(condition: EndpointCondition, cold: Boolean, slots: Int, nowMs: Long): Boolean {
        val decision = SendPolicy.decide(condition, nowMs)
        return decision is SendDecision.Allowed && decision.rank == 0 &&
            condition.pause?.isOver(nowMs) != false && !cold && condition.outstanding < slots
    }
}
