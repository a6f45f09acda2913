package io.oriolehall.peer

/** Receives the size of each frame that is sent or received, for metrics. `bytes` includes the frame's header. */
interface PeerTraffic {
    fun sent(channel: String, bytes: Int)

    fun received(channel: String, bytes: Int)

    /** Records nothing. */
    object None : PeerTraffic {
        override fun sent(channel: String, bytes: Int) = Unit

        override fun received(channel: String, bytes: Int) = Unit
    }
}
