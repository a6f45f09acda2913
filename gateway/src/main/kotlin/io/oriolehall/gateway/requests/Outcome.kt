package io.oriolehall.gateway.requests

import io.netty.handler.codec.http.HttpHeaders

/** How an attempt at one endpoint ended. */
internal sealed interface AttemptOutcome {
    /** The caller has the whole answer. */
    data class Delivered(val status: Int) : AttemptOutcome

    /** The endpoint certainly did not run the request. */
    data class NotRun(val reason: String, val overloaded: Boolean) : AttemptOutcome

    /** The endpoint answered with a failure of its own; it has not been passed on yet. */
    class Failure(val status: Int, val headers: HttpHeaders, val body: ByteArray) : AttemptOutcome

    /** The connection broke or the answer cannot be used; the request may have run. */
    data class Lost(val reason: String) : AttemptOutcome

    fun describe(): String = when (this) {
        is Delivered -> "delivered $status"
        is NotRun -> "not run: $reason"
        is Failure -> "failure $status"
        is Lost -> "lost: $reason"
    }
}

/**
 * Why the gateway answers itself. Each status says whether the request has run: 429 and 503 promise that it has not
 * and will not.
 */
internal sealed interface Rejection {
    val status: Int

    /** Why, for the log; it may name figures. */
    val reason: String

    /** Why, for counters: one of a few words. */
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

/** Why a request was refused that has not run. */
internal enum class RefusalCause {
    NO_CONFIGURATION,
    UNCONFIRMED,
    STOPPING,
    NO_ENDPOINT,
    OVERLOADED,
    STAGE,
    TIMED_OUT,
    DECLINED,
}
