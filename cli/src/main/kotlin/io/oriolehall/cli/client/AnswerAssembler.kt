package io.oriolehall.cli.client

import io.oriolehall.model.AcceptedEvent
import io.oriolehall.model.ChunkEvent
import io.oriolehall.model.EndEvent
import io.oriolehall.model.Problem
import io.oriolehall.model.WireJson
import java.security.MessageDigest

/**
 * Puts an answer together from its events and checks that it is whole.
 *
 * @param received text that arrived on an earlier connection.
 */
internal class AnswerAssembler(received: String, private val clock: CallClock, private val onText: (String) -> Unit) {
    private val text = StringBuilder(received)
    private val digest = MessageDigest.getInstance("SHA-256").apply { update(received.encodeToByteArray()) }
    private var length = received.encodeToByteArray().size.toLong()
    private var accepted: AcceptedEvent? = null
    private var firstTextMs: Long? = null

    /** Takes [event] in; the outcome if the answer ends with it. */
    fun take(event: ServerEvent): CallOutcome? = when (event.name) {
        "accepted" -> {
            accepted = WireJson.decodeFromString(AcceptedEvent.serializer(), event.data)
            null
        }

        "chunk" -> append(WireJson.decodeFromString(ChunkEvent.serializer(), event.data))

        "end" -> finish(WireJson.decodeFromString(EndEvent.serializer(), event.data))

        "problem" -> refused(WireJson.decodeFromString(Problem.serializer(), event.data))

        else -> null
    }

    /** The outcome when the connection ends for [reason] before the answer does. */
    fun broken(reason: String) = CallOutcome.Broken(reason, accepted?.requestId, text.toString())

    private fun append(chunk: ChunkEvent): CallOutcome? {
        if (chunk.offset != length) return broken("text at offset ${chunk.offset} arrived where $length was next")
        if (firstTextMs == null) firstTextMs = clock.elapsedMs()
        val bytes = chunk.text.encodeToByteArray()
        digest.update(bytes)
        length += bytes.size
        text.append(chunk.text)
        onText(chunk.text)
        return null
    }

    private fun finish(end: EndEvent): CallOutcome {
        val accepted = accepted ?: return broken("the answer ended before it was accepted")
        val sha256 = digest.digest().toHexString()
        if (end.length != length) return broken("the answer has $length bytes of ${end.length}")
        if (end.sha256 != sha256) return broken("the answer's digest is $sha256 and not ${end.sha256}")
        return CallOutcome.Whole(
            requestId = accepted.requestId,
            instance = accepted.instance,
            text = text.toString(),
            firstTextMs = firstTextMs,
            tookMs = clock.elapsedMs(),
        )
    }

    private fun refused(problem: Problem) = CallOutcome.Refused(problem, accepted?.requestId, text.toString())
}

/** Time since it was made, milliseconds. */
internal class CallClock {
    private val start = System.nanoTime()

    fun elapsedMs(): Long = (System.nanoTime() - start) / NANOS_PER_MS

    private companion object {
        const val NANOS_PER_MS = 1_000_000
    }
}
