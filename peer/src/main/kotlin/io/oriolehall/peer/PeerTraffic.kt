package io.oriolehall.peer

/** Told about each frame, for metrics. [bytes] counts the frame with its header. */
interface PeerTraffic {
    fun sent(channel: String, bytes: Int)

    fun received(channel: String, bytes: Int)

    /** Ignores everything. */
    object None : PeerTraffic {
        override fun sent(channel: String, bytes: Int) = Unit

        override fun received(channel: String, bytes: Int) = Unit
    }
}
