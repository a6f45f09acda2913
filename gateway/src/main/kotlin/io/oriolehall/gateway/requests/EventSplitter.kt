package io.oriolehall.gateway.requests

/**
 * Splits a stream of server-sent events into complete events, so that a caller never receives part of an event that
 * another endpoint then sends again. Keeps the identifier of the last complete event.
 */
internal class EventSplitter {
    private var incomplete = ByteArray(0)

    /** Identifier of the last complete event that has one; null if there was none. */
    var lastEventId: String? = null
        private set

    /** Number of complete events so far. */
    var eventCount = 0
        private set

    /** True when the bytes so far end with a complete event. */
    val atBoundary: Boolean get() = incomplete.isEmpty()

    /** Appends [bytes] and returns the events that are complete now; empty when there are none. */
    fun append(bytes: ByteArray): ByteArray {
        val buffer = if (incomplete.isEmpty()) bytes else incomplete + bytes
        val end = endOfLastCompleteEvent(buffer)
        if (end == 0) {
            incomplete = buffer
            return EMPTY
        }
        incomplete = buffer.copyOfRange(end, buffer.size)
        return if (end == buffer.size) buffer else buffer.copyOf(end)
    }

    /** Bytes of the incomplete event at the end of the stream. */
    fun incompleteEvent(): ByteArray = incomplete

    /** Discards the incomplete event, which another endpoint will send again. */
    fun dropIncompleteEvent() {
        incomplete = EMPTY
    }

    private fun endOfLastCompleteEvent(buffer: ByteArray): Int {
        var end = 0
        var lineStart = 0
        for (i in buffer.indices) {
            if (buffer[i] != LF) continue
            val blank = i == lineStart || (i == lineStart + 1 && buffer[lineStart] == CR)
            if (blank && i > end) {
                recordEvent(buffer, end, lineStart)
                end = i + 1
            }
            lineStart = i + 1
        }
        return end
    }

    private fun recordEvent(buffer: ByteArray, from: Int, to: Int) {
        eventCount++
        for (line in String(buffer, from, to - from, Charsets.UTF_8).lineSequence()) {
            if (line.startsWith(ID_FIELD)) lastEventId = line.removePrefix(ID_FIELD).trim()
        }
    }

    private companion object {
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()
        const val ID_FIELD = "id:"
        val EMPTY = ByteArray(0)
    }
}
