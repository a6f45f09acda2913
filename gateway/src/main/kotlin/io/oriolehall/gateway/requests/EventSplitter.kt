package io.oriolehall.gateway.requests

/**
 * Cuts a series of server-sent events into whole events, so that a caller never gets half of one that another endpoint
 * then repeats. Keeps the identifier of the last whole event.
 */
internal class EventSplitter {
    private var rest = ByteArray(0)

    /** Identifier of the last whole event; null before the first that has one. */
    var lastEventId: String? = null
        private set

    /** Number of whole events so far. */
    var events = 0
        private set

    /** True when the bytes so far end with a whole event. */
    val atBoundary: Boolean get() = rest.isEmpty()

    /** The whole events that [bytes] complete; empty when there is none. */
    fun take(bytes: ByteArray): ByteArray {
        val all = if (rest.isEmpty()) bytes else rest + bytes
        val end = endOfLastEvent(all)
        if (end == 0) {
            rest = all
            return EMPTY
        }
        rest = all.copyOfRange(end, all.size)
        return if (end == all.size) all else all.copyOf(end)
    }

    /** Bytes of an event that has not ended. */
    fun remainder(): ByteArray = rest

    /** Drops the beginning of an event that will come again from another endpoint. */
    fun dropRemainder() {
        rest = EMPTY
    }

    private fun endOfLastEvent(all: ByteArray): Int {
        var end = 0
        var lineStart = 0
        for (i in all.indices) {
            if (all[i] != LF) continue
            val blank = i == lineStart || (i == lineStart + 1 && all[lineStart] == CR)
            if (blank && i > end) {
                noteEvent(all, end, lineStart)
                end = i + 1
            }
            lineStart = i + 1
        }
        return end
    }

    private fun noteEvent(all: ByteArray, from: Int, to: Int) {
        events++
        for (line in String(all, from, to - from, Charsets.UTF_8).lineSequence()) {
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
