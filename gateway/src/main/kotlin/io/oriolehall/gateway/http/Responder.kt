package io.oriolehall.gateway.http

import io.netty.handler.codec.http.HttpHeaders

/** Answers one request of a caller. Exactly one of [full], [end] and [abort] ends it. */
interface Responder {
    /** True once the head of an answer has been written. */
    val started: Boolean

    /** Writes a whole answer. */
    fun full(status: Int, headers: HttpHeaders, body: ByteArray)

    /** Begins an answer whose length is not known. */
    fun begin(status: Int, headers: HttpHeaders)

    /** Continues an answer; waits while the caller does not read. */
    suspend fun data(bytes: ByteArray)

    /** Ends an answer as complete. */
    fun end()

    /** Breaks the answer off, so that the caller sees that it is not complete. */
    fun abort()
}

/** Serves callers' requests. The coroutine is cancelled when the caller leaves. */
fun interface RequestHandler {
    suspend fun serve(request: CallerRequest, responder: Responder)
}
