package io.oriolehall.gateway.requests

/**
 * Splits a stream of server-sent events into complete events, so that a caller never receives part of an event that
 * another endpoint then sends again. Keeps the identifier of the last complete event.
 */
internal class EventSplitter {
    private var incomplete = ByteArray(0)

    /** Start of the last line in [incomplete]; the lines before it have been examined. */
    private var lineStart = 0

    /** Identifier of the last complete event that has one; null if there was none. */
    var lastEventId: String? = null
        private set

    /** Number of complete events so far. */
    var eventCount = 0
        private set

    /** True when the bytes so far end with a complete event. */
    val atBoundary: Boolean get() = incomplete.isEmpty()

    /** Size of the incomplete event at the end of the stream. */
    val incompleteBytes: Int get() = incomplete.size

    /** Appends [bytes] and returns the events that are complete now; empty when there are none. */
    fun append(bytes: ByteArray): ByteArray {
        val buffer = if (incomplete.isEmpty()) bytes else incomplete + bytes
        val end = endOfLastCompleteEvent(buffer, from = incomplete.size)
        incomplete = if (end == 0) buffer else buffer.copyOfRange(end, buffer.size)
        return if (end == 0) EMPTY else buffer.copyOf(end)
    }

    /** Discards the incomplete event, which another endpoint will send again. */
    fun dropIncompleteEvent() {
        incomplete = EMPTY
        lineStart = 0
    }

    /** Examines [buffer] after [from]; the bytes before it have been examined. Returns 0 if no event is complete. */
    private fun endOfLastCompleteEvent(buffer: ByteArray, from: Int): Int {
        var end = 0
        for (i in from until buffer.size) {
            if (buffer[i] != LF) continue
            val blank = i == lineStart || (i == lineStart + 1 && buffer[lineStart] == CR)
            if (blank && i > end) {
                recordEvent(buffer, end, lineStart)
                end = i + 1
            }
            lineStart = i + 1
        }
        lineStart -= end
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
