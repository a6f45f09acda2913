package io.oriolehall.gateway.http

import io.netty.handler.codec.http.HttpHeaders

/**
 * A caller's request with its complete body.
 *
 * @property receivedAtMs arrival time of its head, monotonic milliseconds.
 */
class CallerRequest(
    val method: String,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val receivedAtMs: Long,
) {
    val host: String get() = headers.get("Host").orEmpty()
}
