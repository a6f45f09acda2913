package io.oriolehall.gateway.requests

import io.oriolehall.dispatch.config.Organisation
import io.oriolehall.dispatch.config.RequestPlan
import io.oriolehall.dispatch.config.Route
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.http.CallerRequest
import io.oriolehall.policy.quarantine.Fingerprint
import io.oriolehall.policy.quarantine.RequestFingerprints

/**
 * An admitted request. Times are monotonic milliseconds.
 *
 * @property attemptId the caller's identifier of this attempt.
 * @property plan what the configuration that admitted the request says about it.
 * @property service the service that was chosen among the targets of the route.
 * @property sharedPromptParts identifiers of the parts of its prompt, in order, without the last one, which belongs to
 *   this request or its session.
 * @property deadlineAtMs the earlier of the deadlines of the caller and the route.
 * @property objectiveAtMs a response that starts later than this counts as late.
 */
internal class RequestContext(
    val request: CallerRequest,
    val attemptId: String,
    val plan: RequestPlan,
    val service: String,
    val organisation: Organisation?,
    val deadlineAtMs: Long,
    val objectiveAtMs: Long,
    val sharedPromptParts: List<String>,
) {
    val route: Route get() = plan.route

    val priority: Int get() = organisation?.priority ?: route.priority

    val trace = RequestTrace()

    val fingerprints: RequestFingerprints by lazy(LazyThreadSafetyMode.NONE) {
        RequestFingerprints(
            Fingerprint.ofRequest(
                service,
                organisation?.id?.value.orEmpty(),
                request.uri,
                sharedPromptParts,
                request.body,
            ),
            sharedPromptParts.map { Fingerprint.ofPromptPart(service, it) },
        )
    }

    /** Number of attempts that an endpoint may have run: sent, and not declined. */
    private var possibleRuns = 0

    /** True while an endpoint may have started to run the request. */
    val mayHaveRun: Boolean get() = possibleRuns > 0

    /** Records that the request was sent to an endpoint. */
    fun onSent() {
        possibleRuns++
    }

    /** Records that an endpoint to which the request was sent has not run it. */
    fun onDeclined() {
        possibleRuns--
    }

    /** Records the time at which the response to the caller starts. */
    fun recordFirstByte() {
        if (trace.firstByteMs == null) trace.firstByteMs = TrafficLoop.nowMs() - request.receivedAtMs
    }

    fun remainingMs(nowMs: Long = TrafficLoop.nowMs()): Long = deadlineAtMs - nowMs
}
