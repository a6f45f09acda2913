package io.oriolehall.gateway.http

import io.netty.handler.codec.http.HttpHeaders

/** Writes the response to one request. Exactly one of [respond], [completeStreaming] and [abort] completes it. */
interface Responder {
    /** True once the response head has been written. */
    val started: Boolean

    /** Writes a complete response. */
    fun respond(status: Int, headers: HttpHeaders, body: ByteArray)

    /** Starts a chunked response, whose length is not known in advance. */
    fun startStreaming(status: Int, headers: HttpHeaders)

    /** Writes a part of the body; suspends while the caller does not read. */
    suspend fun writeChunk(bytes: ByteArray)

    /** Completes a chunked response. */
    fun completeStreaming()

    /** Closes the connection, so that the caller detects an incomplete response. */
    fun abort()
}

/** Serves callers' requests. The coroutine is cancelled when the caller disconnects. */
fun interface RequestHandler {
    suspend fun serve(request: CallerRequest, responder: Responder)
}
