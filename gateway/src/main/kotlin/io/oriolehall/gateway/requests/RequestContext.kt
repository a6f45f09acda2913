package io.oriolehall.gateway.requests

import io.oriolehall.dispatch.config.Organisation
import io.oriolehall.dispatch.config.Route
import io.oriolehall.dispatch.config.RouteTable
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.http.CallerRequest

/**
 * A request that has been let in. Times are monotonic milliseconds.
 *
 * @property attemptId the caller's identifier of this attempt.
 * @property service the target of the route that was drawn for it.
 * @property deadlineAtMs when the caller or the route gives it up.
 * @property objectiveAtMs until when an answer is on time.
 */
internal class RequestContext(
    val request: CallerRequest,
    val attemptId: String,
    val table: RouteTable,
    val route: Route,
    val service: String,
    val organisation: Organisation?,
    val deadlineAtMs: Long,
    val objectiveAtMs: Long,
) {
    val priority: Int get() = organisation?.priority ?: route.priority

    val trace = RequestTrace()

    /** True once an endpoint may have begun to run the request. */
    var mayHaveRun = false

    /** Notes that the answer begins to go to the caller. */
    fun noteFirst() {
        if (trace.firstMs == null) trace.firstMs = TrafficLoop.nowMs() - request.receivedAtMs
    }

    fun leftMs(nowMs: Long = TrafficLoop.nowMs()): Long = deadlineAtMs - nowMs
}
