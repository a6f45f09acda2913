package io.oriolehall.gateway.upstream

import io.netty.handler.codec.http.HttpHeaders

/** An event of the response to one request on an upstream connection; events arrive in order. */
sealed interface UpstreamEvent {
    /** [endsWithConnection] is true when the body has no length and ends when the connection closes. */
    class Head(val status: Int, val headers: HttpHeaders, val endsWithConnection: Boolean) : UpstreamEvent

    class Data(val bytes: ByteArray) : UpstreamEvent

    /** The response is complete. */
    data object End : UpstreamEvent

    /** The connection was closed or received an invalid response; no further events follow. */
    data class Broken(val reason: String) : UpstreamEvent
}
