package io.oriolehall.gateway.upstream

import io.oriolehall.dispatch.endpoints.SendDecision

/** Why there is no connection for a request. No byte of it was sent. */
sealed interface AcquireFailure {
    val message: String

    data class NotConnected(val failure: ConnectFailure) : AcquireFailure {
        override val message get() = failure.message
    }

    /** No request may be sent to the endpoint. */
    data class Denied(val decision: SendDecision.Denied) : AcquireFailure {
        override val message get() = "endpoint may not be used: ${decision.obstacle}"
    }
}
