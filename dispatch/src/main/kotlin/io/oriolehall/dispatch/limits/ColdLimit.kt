package io.oriolehall.dispatch.limits

import kotlin.math.floor

/**
 * Bounds what this instance sends to one endpoint in any second, so that the sum over all instances stays within what
 * a cold endpoint bears. It holds all the time, because an endpoint may turn cold without notice. Each instance takes
 * an equal part; where the part is below one request a second, the caller uses a subset of the endpoints instead.
 */
class ColdLimit {
    private val sent = ArrayDeque<Long>()

    /** True when one more request may be sent at [nowMs], of [perSecond] for all [senders] together. */
    fun allows(nowMs: Long, perSecond: Double, senders: Int): Boolean {
        while (sent.isNotEmpty() && sent.first() <= nowMs - WINDOW_MS) sent.removeFirst()
        return sent.size < maxOf(1, floor(perSecond / maxOf(1, senders)).toInt())
    }

    fun onSent(nowMs: Long) {
        sent.addLast(nowMs)
    }

    private companion object {
        /** A second and the time by which a request may arrive later than its neighbours, milliseconds. */
        const val WINDOW_MS = 1_050L
    }
}
