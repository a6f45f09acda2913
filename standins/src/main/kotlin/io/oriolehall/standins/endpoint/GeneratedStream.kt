package io.oriolehall.standins.endpoint

import io.oriolehall.model.StageCall
import io.oriolehall.model.StreamEnd
import io.oriolehall.model.StreamLine
import io.oriolehall.model.Usage
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import java.io.IOException
import java.security.MessageDigest

/** The lines generated for one call, kept so that a reader can come back. One writer, any number of readers. */
internal class GeneratedStream(private val call: StageCall) {
    private val lines = ArrayList<StreamLine>()
    private val digest = MessageDigest.getInstance("SHA-256")
    private val state = MutableStateFlow(State(0, ended = false, broken = false))
    private var length = 0L

    val id: String get() = "${call.requestId}.${call.attempt}"

    val ended: Boolean get() = state.value.ended || state.value.broken

    fun append(text: String) {
        val bytes = text.encodeToByteArray()
        add(line(text), ended = false)
        digest.update(bytes)
        length += bytes.size
    }

    /** Adds a line as a late one of an earlier attempt would be. */
    fun appendStale() = add(line("stale").copy(attempt = call.attempt - 1), ended = false)

    fun end(usage: Usage) {
        val sha256 = digest.digest().joinToString("") { "%02x".format(it) }
        add(line("").copy(end = StreamEnd(length, sha256, usage)), ended = true)
    }

    /** Ends the stream without an end line; readers fail. */
    fun breakOff() {
        state.value = state.value.copy(broken = true)
    }

    /** The lines from byte [offset] on, as they are generated. */
    fun follow(offset: Long): Flow<StreamLine> = flow {
        var next = 0
        while (true) {
            val current = state.first { it.count > next || it.ended || it.broken }
            while (next < current.count) {
                val line = synchronized(lines) { lines[next++] }
                line.from(offset)?.let { emit(it) }
            }
            if (current.broken) throw IOException("stream $id broke off")
            if (current.ended) return@flow
        }
    }

    private fun add(line: StreamLine, ended: Boolean) {
        val count = synchronized(lines) {
            lines += line
            lines.size
        }
        state.value = state.value.copy(count = count, ended = ended)
    }

    private fun line(text: String) = StreamLine(call.requestId, call.stage, call.attempt, length, text)

    private fun StreamLine.from(wanted: Long): StreamLine? {
        if (offset >= wanted || end != null) return this
        val bytes = text.encodeToByteArray()
        val skip = wanted - offset
        if (skip >= bytes.size) return null
        return copy(offset = wanted, text = bytes.decodeToString(skip.toInt()))
    }

    private data class State(val count: Int, val ended: Boolean, val broken: Boolean)
}
