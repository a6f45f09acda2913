package io.oriolehall.gateway.upstream

/**
 * Limits the memory that answers take while they are collected, summed over all connections of an instance, so that
 * faulty endpoints which send bytes without end cannot exhaust it. The first [FREE_BYTES_PER_ANSWER] of an answer are
 * not counted: small answers can always be collected, whatever large ones take. Used on the traffic thread only.
 */
class AnswerMemory(private val maxBytes: Long = DEFAULT_MAX_BYTES) {
    /** Bytes that large answers take now. */
    var takenBytes = 0L
        private set

    /** Returns the share of a new answer; it has to be released. */
    fun newShare() = Share()

    /** What one answer takes. */
    inner class Share {
        private var answerBytes = 0L
        private var countedBytes = 0L

        /** Takes [bytes] more for this answer. Returns false if there is no memory for them. */
        fun take(bytes: Int): Boolean {
            val counted = maxOf(0, answerBytes + bytes - FREE_BYTES_PER_ANSWER)
            if (takenBytes - countedBytes + counted > maxBytes) return false
            takenBytes += counted - countedBytes
            answerBytes += bytes
            countedBytes = counted
            return true
        }

        fun release() {
            takenBytes -= countedBytes
            answerBytes = 0
            countedBytes = 0
        }
    }

    private companion object {
        const val DEFAULT_MAX_BYTES = 16_777_216L
        const val FREE_BYTES_PER_ANSWER = 65_536L
    }
}
