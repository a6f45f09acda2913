package io.oriolehall.cli.client

import io.oriolehall.model.AcceptedEvent
import io.oriolehall.model.ChunkEvent
import io.oriolehall.model.EndEvent
import io.oriolehall.model.Problem
import io.oriolehall.model.WireJson
import java.security.MessageDigest

/**
 * Assembles an answer from its events and verifies that it is complete.
 *
 * @param received text that arrived on an earlier connection.
 */
internal class AnswerAssembler(
    received: String,
    private val stopwatch: Stopwatch,
    private val onText: (String) -> Unit,
) {
    private val text = StringBuilder(received)
    private val digest = MessageDigest.getInstance("SHA-256").apply { update(received.encodeToByteArray()) }
    private var length = received.encodeToByteArray().size.toLong()
    private var accepted: AcceptedEvent? = null
    private var firstTextMs: Long? = null

    /** Processes [event]. Returns the outcome if the event ends the answer, otherwise null. */
    fun process(event: ServerSentEvent): CallOutcome? = when (event.name) {
        "accepted" -> {
            accepted = WireJson.decodeFromString(AcceptedEvent.serializer(), event.data)
            null
        }

        "chunk" -> append(WireJson.decodeFromString(ChunkEvent.serializer(), event.data))

        "end" -> finish(WireJson.decodeFromString(EndEvent.serializer(), event.data))

        "problem" -> refused(WireJson.decodeFromString(Problem.serializer(), event.data))

        else -> null
    }

    /** The outcome if the answer cannot be completed because of [reason]. */
    fun incomplete(reason: String) = CallOutcome.Broken(reason, accepted?.requestId, text.toString())

    private fun append(chunk: ChunkEvent): CallOutcome? {
        if (chunk.offset != length) return incomplete("text at offset ${chunk.offset}, expected offset $length")
        if (firstTextMs == null) firstTextMs = stopwatch.elapsedMs()
        val bytes = chunk.text.encodeToByteArray()
        digest.update(bytes)
        length += bytes.size
        text.append(chunk.text)
        onText(chunk.text)
        return null
    }

    private fun finish(end: EndEvent): CallOutcome {
        val accepted = accepted ?: return incomplete("the end event arrived before the accepted event")
        val sha256 = digest.digest().toHexString()
        if (end.length != length) return incomplete("received $length bytes of ${end.length}")
        if (end.sha256 != sha256) return incomplete("the text has SHA-256 $sha256, expected ${end.sha256}")
        return CallOutcome.Whole(
            requestId = accepted.requestId,
            instance = accepted.instance,
            text = text.toString(),
            firstTextMs = firstTextMs,
            tookMs = stopwatch.elapsedMs(),
        )
    }

    private fun refused(problem: Problem) = CallOutcome.Refused(problem, accepted?.requestId, text.toString())
}

/** Measures the time since it was created. */
internal class Stopwatch {
    private val startNanos = System.nanoTime()

    fun elapsedMs(): Long = (System.nanoTime() - startNanos) / NANOS_PER_MS

    private companion object {
        const val NANOS_PER_MS = 1_000_000
    }
}
