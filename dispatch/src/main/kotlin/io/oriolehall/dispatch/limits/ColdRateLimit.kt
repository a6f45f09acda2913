package io.oriolehall.dispatch.limits

/**
 * Limits the requests that this instance sends to one endpoint in any second, so that all instances together stay
 * within the capacity of a cold endpoint. The limit always applies, because an endpoint may become cold without notice.
 * [ColdRateShare] computes this instance's share of that capacity.
 */
class ColdRateLimit {
    private val sentAtMs = ArrayDeque<Long>()

    /** True when one more request may be sent at [nowMs], with at most [share] requests in any second. */
    fun allows(nowMs: Long, share: Int): Boolean = sentInWindow(nowMs) < share

    /** Requests of this instance that count towards the limit at [nowMs]. */
    fun sentInWindow(nowMs: Long): Int = sentAtMs.count { it > nowMs - WINDOW_MS }

    /** Records a sent request. Forgets old ones here, because services without a limit never ask [allows]. */
    fun onSent(nowMs: Long) {
        while (sentAtMs.isNotEmpty() && sentAtMs.first() <= nowMs - WINDOW_MS) sentAtMs.removeFirst()
        sentAtMs.addLast(nowMs)
    }

    private companion object {
        /** One second plus the jitter in the arrival times of requests at the endpoint, milliseconds. */
        const val WINDOW_MS = 1_050L
    }
}
