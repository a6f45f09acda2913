package io.oriolehall.gateway.upstream

import io.netty.handler.codec.http.HttpHeaders

/** What arrives on a connection to an endpoint in answer to a request, in order. */
sealed interface UpstreamEvent {
    class Head(val status: Int, val headers: HttpHeaders) : UpstreamEvent

    class Data(val bytes: ByteArray) : UpstreamEvent

    /** The answer is whole. */
    data object End : UpstreamEvent

    /** The connection ended or sent what is no answer; nothing more comes. */
    data class Broken(val reason: String) : UpstreamEvent
}
