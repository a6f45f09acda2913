package io.oriolehall.policy.keys

/** State of the request of a key at one instance. A non-idempotent stage may be sent only in state [Held]. */
sealed interface KeyState {
    /** True when no work is in progress, so that the record may be removed once its key has expired. */
    fun isSettled(): Boolean = this is Finished || this is HeldElsewhere || this == Unclaimed

    /** The claim has been sent to witnesses and is undecided. */
    data object Claiming : KeyState

    /** The claim did not get enough grants. A later request may claim the key again. */
    data object Unclaimed : KeyState

    /** Another process may hold the key. This process never will. */
    data class HeldElsewhere(val holder: KeyHolder) : KeyState

    /** This process holds the key. [ran] is true when a non-idempotent stage has returned its result. */
    data class Held(val ran: Boolean = false) : KeyState

    /** A non-idempotent stage may be in transit to an endpoint or running there; [ran] as in [Held]. */
    data class Sent(val ran: Boolean) : KeyState

    /** The request has ended; nothing more is sent under the key. */
    data class Finished(val outcome: KeyOutcome) : KeyState
}

/** How the request of a key ended. */
enum class KeyOutcome {
    /** The request ran and its answer is stored. */
    ANSWERED,

    /** No non-idempotent stage ran, and none will. */
    CLOSED,

    /** A non-idempotent stage ran, but the request did not complete. */
    RAN,

    /** A non-idempotent stage was sent, and whether it ran is unknown. */
    UNKNOWN,
}
