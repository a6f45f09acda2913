package io.oriolehall.policy.admission

import io.oriolehall.model.OrganisationId

/**
 * A call that is waiting for an endpoint.
 *
 * @property latestStartMs monotonic time after which the call would finish too late, milliseconds.
 */
class WaitingCall<T>(
    val organisation: OrganisationId,
    val share: Int,
    val priority: Int,
    val latestStartMs: Long,
    val item: T,
)

/**
 * Queue of waiting calls. Organisations are served in proportion to their shares (start-time fair queueing). Within an
 * organisation, calls are ordered by descending priority, then by least slack, that is, earliest
 * [WaitingCall.latestStartMs]. Not thread-safe.
 */
class FairQueue<T> {
    private val queues = mutableMapOf<OrganisationId, MutableList<WaitingCall<T>>>()
    private val startTags = mutableMapOf<OrganisationId, Double>()
    private var virtualTime = 0.0

    val size: Int get() = queues.values.sumOf { it.size }

    /** Estimated number of calls served before a new call of [organisation]; assumes that all shares are equal. */
    fun callsAhead(organisation: OrganisationId): Int {
        val own = queues[organisation]?.size ?: 0
        return queues.values.sumOf { minOf(it.size, own + 1) }
    }

    fun add(call: WaitingCall<T>) {
        val queue = queues.getOrPut(call.organisation) {
            startTags[call.organisation] = maxOf(startTags[call.organisation] ?: 0.0, virtualTime)
            mutableListOf()
        }
        val index = queue.indexOfFirst { CALL_ORDER.compare(call, it) < 0 }
        if (index < 0) queue.add(call) else queue.add(index, call)
    }

    fun remove(call: WaitingCall<T>) {
        val queue = queues[call.organisation] ?: return
        queue.remove(call)
        if (queue.isEmpty()) queues.remove(call.organisation)
    }

    /** Removes and returns the calls whose latest start time has passed. */
    fun removeExpired(nowMs: Long): List<WaitingCall<T>> {
        val expired = queues.values.flatten().filter { it.latestStartMs < nowMs }
        expired.forEach(::remove)
        return expired
    }

    /** Removes and returns the first call in fair-queueing order that [fits], or null if there is none. */
    fun pollFirst(fits: (WaitingCall<T>) -> Boolean): WaitingCall<T>? {
        for (organisation in queues.keys.sortedBy { startTags.getValue(it) }) {
            val call = queues.getValue(organisation).firstOrNull(fits) ?: continue
            remove(call)
            virtualTime = maxOf(virtualTime, startTags.getValue(organisation))
            startTags[organisation] = startTags.getValue(organisation) + 1.0 / maxOf(1, call.share)
            return call
        }
        return null
    }

    private companion object {
        val CALL_ORDER = compareByDescending<WaitingCall<*>> { it.priority }.thenBy { it.latestStartMs }
    }
}
