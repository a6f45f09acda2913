package io.oriolehall.entry.stages

import io.oriolehall.entry.requests.InboundRequest
import io.oriolehall.model.RequestId
import io.oriolehall.policy.quarantine.Fingerprint
import java.util.concurrent.atomic.AtomicInteger

/** What the stages of one request share. */
class StageContext(val request: InboundRequest, val requestId: RequestId) {
    private val attempts = AtomicInteger()

    /** What the request has in common with others of the same input. */
    val fingerprint: Fingerprint by lazy {
        Fingerprint.of(request.organisation.id, request.pipeline.id, request.body.input)
    }

    /** True once a call may have reached an endpoint. */
    @Volatile
    var anythingSent: Boolean = false
        private set

    /** A number for a further call; no two calls of a request share one. */
    fun nextAttempt(): Int = attempts.incrementAndGet()

    /** Notes that a call may have reached an endpoint. */
    fun markSent() {
        anythingSent = true
    }
}
