package io.oriolehall.gateway.requests

import io.netty.handler.codec.http.HttpHeaders

/** Outcome of an attempt at one endpoint. */
internal sealed interface AttemptOutcome {
    /** All events of the stream were written to the caller; the end of the stream was not. */
    data class Delivered(val status: Int) : AttemptOutcome

    /** The endpoint's complete plain response, which has not been forwarded to the caller yet. */
    class Complete(val status: Int, val headers: HttpHeaders, val body: ByteArray) : AttemptOutcome

    /** This instance closed the connection because another attempt at the request was answered. */
    data object Superseded : AttemptOutcome

    /** The endpoint did not run the request; [sent] is false when no byte of it has left. */
    data class NotRun(val reason: String, val sent: Boolean) : AttemptOutcome

    /** The endpoint responded with a server error, which has not been forwarded to the caller yet. */
    class Failure(val status: Int, val headers: HttpHeaders, val body: ByteArray) : AttemptOutcome

    /**
     * The connection failed, or the response is missing or invalid; the request may have run.
     *
     * @property answerBegun true when an event of the answer had arrived.
     * @property connectionFailed true when the connection failed or carried an invalid answer, so that the process of
     *   the endpoint may have ended.
     */
    data class Lost(val reason: String, val answerBegun: Boolean, val connectionFailed: Boolean = true) : AttemptOutcome

    /** True for the complete response of an endpoint that is no failure. */
    val isResponse: Boolean get() = this is Delivered || this is Complete

    fun describe(): String = when (this) {
        is Delivered -> "delivered $status"
        is Complete -> "complete $status"
        is Superseded -> "cancelled for another attempt"
        is NotRun -> "not run: $reason"
        is Failure -> "failure $status"
        is Lost -> "lost: $reason"
    }
}

/**
 * A response by the gateway itself. The status tells whether the request has run: 429 and 503 guarantee that it has not
 * and will not.
 */
internal sealed interface Rejection {
    val status: Int

    /** Reason for the log; may contain figures. */
    val reason: String

    /** Reason as a metric label; one of a fixed set of values. */
    val kind: String

    data class NotExecuted(
        val cause: RefusalCause,
        override val reason: String,
        val retryAfterMs: Long,
    ) : Rejection {
        override val status get() = 503
        override val kind get() = cause.name.lowercase()
    }

    data class UnknownRoute(override val reason: String) : Rejection {
        override val status get() = 404
        override val kind get() = "unknown_route"
    }

    data class UnknownKey(override val reason: String) : Rejection {
        override val status get() = 401
        override val kind get() = "unknown_key"
    }

    data class Malformed(override val reason: String) : Rejection {
        override val status get() = 400
        override val kind get() = "malformed"
    }

    data class OutcomeUnknown(override val reason: String) : Rejection {
        override val status get() = 502
        override val kind get() = "outcome_unknown"
    }

    data class TimedOut(override val reason: String) : Rejection {
        override val status get() = 504
        override val kind get() = "timed_out"
    }
}

/** Why a request was rejected without having run. */
internal enum class RefusalCause {
    NO_CONFIGURATION,
    UNCONFIRMED,
    UNSENDABLE_NAME,
    STOPPING,
    NO_ENDPOINT,
    OVERLOADED,
    STAGE,
    TIMED_OUT,
    DECLINED,
    QUARANTINED,
}
