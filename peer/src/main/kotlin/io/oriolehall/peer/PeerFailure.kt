package io.oriolehall.peer

/** Why an exchange with another instance failed. */
sealed interface PeerFailure {
    /** Description of the failure and, where there is one, the remedy. */
    val message: String

    /** No connection could be established; no byte of the request was sent. */
    data class Unreachable(override val message: String) : PeerFailure

    /** Connection lost or call timed out, possibly after the request was sent; the peer may have acted on it. */
    data class Lost(override val message: String) : PeerFailure

    /** The peer rejected the request, or ended the exchange without the expected answer. */
    data class Rejected(override val message: String) : PeerFailure
}
