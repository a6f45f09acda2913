package io.oriolehall.gateway.upstream

import java.io.ByteArrayOutputStream

/** The body of a response that was read to its end, or the reason why it cannot be used. */
sealed interface ResponseBody {
    class Complete(val bytes: ByteArray) : ResponseBody

    sealed interface Unusable : ResponseBody {
        val reason: String
    }

    /** The connection was closed or carried something else before the end of the body. */
    data class Broken(override val reason: String) : Unusable

    /** The body has more than [maxBytes]. */
    data class TooLong(val maxBytes: Int) : Unusable {
        override val reason get() = "answer is longer than $maxBytes bytes"
    }
}

/**
 * Reads the rest of a response after its head. A body of more than [maxBytes] is unusable: a faulty endpoint may send
 * bytes without end, and the caller of this function has to close the connection then.
 */
suspend fun UpstreamConnection.receiveBody(maxBytes: Int): ResponseBody {
    val body = ByteArrayOutputStream()
    while (true) {
        when (val event = receive()) {
            is UpstreamEvent.Data -> body.writeBytes(event.bytes)
            is UpstreamEvent.Broken -> return ResponseBody.Broken(event.reason)
            is UpstreamEvent.Head -> return ResponseBody.Broken("second head in an answer")
            UpstreamEvent.End -> return ResponseBody.Complete(body.toByteArray())
        }
        if (body.size() > maxBytes) return ResponseBody.TooLong(maxBytes)
    }
}
