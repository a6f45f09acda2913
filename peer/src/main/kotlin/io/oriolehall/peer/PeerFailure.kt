package io.oriolehall.peer

/** Why an exchange with another instance failed. */
sealed interface PeerFailure {
    /** What happened and what to do about it. */
    val message: String

    /** No connection; no byte of the request left this instance. */
    data class Unreachable(override val message: String) : PeerFailure

    /** The connection broke or the time ran out after the request may have left; the peer may have acted on it. */
    data class Lost(override val message: String) : PeerFailure

    /** The peer answered that it cannot serve the request. */
    data class Rejected(override val message: String) : PeerFailure
}
