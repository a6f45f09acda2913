package io.oriolehall.dispatch.placement

/** A part of a prompt. Requests share parts; a part can be reused only behind the same parts before it. */
data class PromptPart(val id: String, val tokens: Long)

/**
 * Chooses the part of a prompt by which requests are kept together at an endpoint: the largest one that other requests
 * share, since reading it again costs most; with it come the parts before it. A part that a large share of the requests
 * has would bring them all to one endpoint, so a finer one is taken in its place.
 *
 * The load that it answers: prompts in which a large part is shared by some users, or a small one by all of them. Pure:
 * no clock, no I/O. Times are monotonic milliseconds. Not safe for use by several threads.
 */
class PromptAffinity {
    private var counts = HashMap<String, Int>()
    private var total = 0
    private var earlierCounts = HashMap<String, Int>()
    private var earlierTotal = 0
    private var sinceMs = Long.MIN_VALUE

    /**
     * The part of [parts] to go by among [endpoints] endpoints, or null when the prompt shares nothing. The last part
     * belongs to the request itself. Counts the request.
     */
    fun choose(parts: List<PromptPart>, endpoints: Int, nowMs: Long): String? {
        turn(nowMs)
        val shared = parts.dropLast(1)
        total++
        shared.forEach { counts.merge(it.id, 1, Int::plus) }
        val bySize = shared.sortedByDescending(PromptPart::tokens)
        return (bySize.firstOrNull { !isHot(it.id, endpoints) } ?: shared.lastOrNull())?.id
    }

    private fun isHot(part: String, endpoints: Int): Boolean {
        val seen = total + earlierTotal
        if (seen < LEAST_SEEN) return false
        val count = (counts[part] ?: 0) + (earlierCounts[part] ?: 0)
        return count.toDouble() / seen > HOT_FACTOR / maxOf(1, endpoints)
    }

    private fun turn(nowMs: Long) {
        if (sinceMs != Long.MIN_VALUE && nowMs - sinceMs < WINDOW_MS) return
        sinceMs = nowMs
        earlierCounts = counts
        earlierTotal = total
        counts = HashMap()
        total = 0
    }

    companion object {
        /** Requests from which on shares say something. */
        private const val LEAST_SEEN = 20

        /** A part is hot when its share of the requests is this many times that of one endpoint. */
        private const val HOT_FACTOR = 1.5

        /** Time after which counts are set aside, and after which they are forgotten once more, milliseconds. */
        private const val WINDOW_MS = 10_000L

        /** The parts in [text], `ID:TOKENS` with commas between; what cannot be read is left out. */
        fun parse(text: String): List<PromptPart> = text.split(',').mapNotNull { entry ->
            val tokens = entry.substringAfter(':', "").trim().toLongOrNull()
            tokens?.let { PromptPart(entry.substringBefore(':').trim(), it) }
        }
    }
}
