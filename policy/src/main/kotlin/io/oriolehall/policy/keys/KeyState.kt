package io.oriolehall.policy.keys

/** What an instance knows of the request of a key. Only [Held] allows a non-idempotent stage to be sent. */
sealed interface KeyState {
    /** True when nothing is under way, so that the record may be forgotten once its key has expired. */
    fun isSettled(): Boolean = this is Finished || this is Yielded || this == Unclaimed

    /** Witnesses are being asked. */
    data object Claiming : KeyState

    /** The witnesses' answers did not suffice; a later arrival may claim again. */
    data object Unclaimed : KeyState

    /** Another process may hold the key; this one never does. */
    data class Yielded(val holder: KeyHolder) : KeyState

    /** This process holds the key. [ran] is true when a non-idempotent stage has given its result. */
    data class Held(val ran: Boolean = false) : KeyState

    /** A non-idempotent stage may be on its way to an endpoint or running there. */
    data class Sent(val ran: Boolean) : KeyState

    /** Nothing more will be sent under the key. */
    data class Finished(val outcome: KeyOutcome) : KeyState
}

/** How the request of a key ended. */
enum class KeyOutcome {
    /** It ran and its answer is kept. */
    ANSWERED,

    /** Nothing ran and nothing will. */
    CLOSED,

    /** A non-idempotent stage ran, but the request did not come to its end. */
    RAN,

    /** A non-idempotent stage was sent and what became of it is not known. */
    UNKNOWN,
}
