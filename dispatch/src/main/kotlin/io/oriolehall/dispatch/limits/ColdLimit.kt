package io.oriolehall.dispatch.limits

/**
 * Bounds what this instance sends to one endpoint in any second, so that the sum over all instances stays within what
 * a cold endpoint bears. It holds all the time, because an endpoint may turn cold without notice. [ColdShare] says how
 * much of it is this instance's.
 */
class ColdLimit {
    private val sent = ArrayDeque<Long>()

    /** True when one more request may be sent at [nowMs], of [share] in any second. */
    fun allows(nowMs: Long, share: Int): Boolean {
        while (sent.isNotEmpty() && sent.first() <= nowMs - WINDOW_MS) sent.removeFirst()
        return sent.size < share
    }

    fun onSent(nowMs: Long) {
        sent.addLast(nowMs)
    }

    private companion object {
        /** A second and the time by which a request may arrive later than its neighbours, milliseconds. */
        const val WINDOW_MS = 1_050L
    }
}
