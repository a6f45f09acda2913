package io.oriolehall.entry.stages

import io.oriolehall.entry.requests.InboundRequest
import io.oriolehall.model.RequestId
import java.util.concurrent.atomic.AtomicInteger

/** What the stages of one request share. */
class StageContext(val request: InboundRequest, val requestId: RequestId) {
    private val attempts = AtomicInteger()

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
