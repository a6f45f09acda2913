package io.oriolehall.policy.admission

import io.oriolehall.model.OrganisationId

/**
 * A call that waits for an endpoint.
 *
 * @property latestStartMs monotonic time after which a start is of no use, milliseconds.
 */
class WaitingCall<T>(
    val organisation: OrganisationId,
    val share: Int,
    val priority: Int,
    val latestStartMs: Long,
    val item: T,
)

/**
 * Calls that wait, served in turn by organisation in proportion to their shares (start-time fair queueing), and within
 * an organisation by priority, then by the least slack. Not safe for use by several threads.
 */
class FairQueue<T> {
    private val lines = mutableMapOf<OrganisationId, MutableList<WaitingCall<T>>>()
    private val served = mutableMapOf<OrganisationId, Double>()
    private var virtualTime = 0.0

    val size: Int get() = lines.values.sumOf { it.size }

    /** Calls that a new one of [organisation] would wait for, if every organisation keeps sending. */
    fun sizeBefore(organisation: OrganisationId): Int {
        val own = lines[organisation]?.size ?: 0
        return lines.values.sumOf { minOf(it.size, own + 1) }
    }

    fun add(call: WaitingCall<T>) {
        val line = lines.getOrPut(call.organisation) {
            served[call.organisation] = maxOf(served[call.organisation] ?: 0.0, virtualTime)
            mutableListOf()
        }
        val place = line.indexOfFirst { ORDER.compare(call, it) < 0 }
        if (place < 0) line.add(call) else line.add(place, call)
    }

    fun remove(call: WaitingCall<T>) {
        val line = lines[call.organisation] ?: return
        line.remove(call)
        if (line.isEmpty()) lines.remove(call.organisation)
    }

    /** Removes and returns the calls for which it is too late. */
    fun removeLate(nowMs: Long): List<WaitingCall<T>> {
        val late = lines.values.flatten().filter { it.latestStartMs < nowMs }
        late.forEach(::remove)
        return late
    }

    /** Removes and returns the first call, in the order of fairness, that [fits]. */
    fun pollFirst(fits: (WaitingCall<T>) -> Boolean): WaitingCall<T>? {
        for (organisation in lines.keys.sortedBy { served.getValue(it) }) {
            val call = lines.getValue(organisation).firstOrNull(fits) ?: continue
            remove(call)
            virtualTime = maxOf(virtualTime, served.getValue(organisation))
            served[organisation] = served.getValue(organisation) + 1.0 / maxOf(1, call.share)
            return call
        }
        return null
    }

    private companion object {
        val ORDER = compareByDescending<WaitingCall<*>> { it.priority }.thenBy { it.latestStartMs }
    }
}
