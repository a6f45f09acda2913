package io.oriolehall.gateway.upstream

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

    /** The answers that are being collected take all the memory that there is for them. */
    data class NoMemory(val takenBytes: Long) : Unusable {
        override val reason get() = "no memory for the answer: large answers take $takenBytes bytes"
    }
}

/**
 * Reads the rest of a response after its head. A body of more than [maxBytes] is unusable, and so is one for which
 * there is no memory: a faulty endpoint may send bytes without end, and the caller of this function has to close the
 * connection then.
 */
suspend fun UpstreamConnection.receiveBody(maxBytes: Int): ResponseBody {
    val share = memory.newShare()
    try {
        return receiveBody(maxBytes, share)
    } finally {
        share.release()
    }
}

private suspend fun UpstreamConnection.receiveBody(maxBytes: Int, share: AnswerMemory.Share): ResponseBody {
    val parts = mutableListOf<ByteArray>()
    var size = 0
    while (true) {
        when (val event = receive()) {
            is UpstreamEvent.Data -> {
                size += event.bytes.size
                if (size > maxBytes) return ResponseBody.TooLong(maxBytes)
                if (!share.take(event.bytes.size + PART_OVERHEAD_BYTES)) return ResponseBody.NoMemory(memory.takenBytes)
                parts += event.bytes
            }

            is UpstreamEvent.Broken -> return ResponseBody.Broken(event.reason)

            is UpstreamEvent.Head -> return ResponseBody.Broken("second head in an answer")

            UpstreamEvent.End -> return ResponseBody.Complete(join(parts, size))
        }
    }
}

private fun join(parts: List<ByteArray>, size: Int): ByteArray {
    parts.singleOrNull()?.let { return it }
    val joined = ByteArray(size)
    var offset = 0
    for (part in parts) {
        part.copyInto(joined, offset)
        offset += part.size
    }
    return joined
}

/** Memory of an array and its place in a list, beside its content. */
private const val PART_OVERHEAD_BYTES = 32
