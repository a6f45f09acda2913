package io.oriolehall.dispatch.endpoints

import io.oriolehall.model.EndpointId
import kotlin.random.Random

/**
 * A time in which an endpoint wants no requests from this instance, and the ramp after it.
 *
 * @property untilMs end of the pause, monotonic milliseconds.
 */
data class EndpointPause(val untilMs: Long) {
    /** Requests that the endpoint may have in flight at [nowMs]; grows after the pause. */
    fun maxOutstanding(nowMs: Long): Int = when {
        nowMs < untilMs -> 0
        isOver(nowMs) -> Int.MAX_VALUE
        else -> 1 + ((nowMs - untilMs) / RAMP_STEP_MS).toInt()
    }

    /** True when the ramp has ended too. */
    fun isOver(nowMs: Long): Boolean = nowMs >= untilMs + RAMP_MS

    private companion object {
        const val RAMP_MS = 2_000L
        const val RAMP_STEP_MS = 250L
    }
}

/**
 * What endpoints have told this instance in their answers: that they leave, or that they want no requests for a time.
 * An endpoint that has said that it leaves gets no request until this process ends, whatever is published under its id
 * later: a published state may be older than the answer.
 *
 * Times are monotonic milliseconds. Not thread-safe.
 */
class EndpointSignals(private val random: Random = Random.Default) {
    private val leavingIds = LinkedHashSet<EndpointId>()
    private val pauses = HashMap<EndpointId, EndpointPause>()

    fun isLeaving(id: EndpointId): Boolean = id in leavingIds

    /** The current pause of the endpoint, or the last one while its ramp lasts. */
    fun pauseOf(id: EndpointId): EndpointPause? = pauses[id]

    /** Records that the endpoint leaves. Returns false if that was known. */
    fun onLeaving(id: EndpointId): Boolean {
        if (!leavingIds.add(id)) return false
        if (leavingIds.size > MAX_LEAVING) leavingIds.remove(leavingIds.first())
        return true
    }

    /**
     * Records that the endpoint wants no requests for [durationMs], at most [MAX_PAUSE_MS]. This instance stays away a
     * little longer, by a random time, so that instances do not all return at once. Returns the pause if it is a new or
     * longer one.
     */
    fun onPause(id: EndpointId, durationMs: Long, nowMs: Long): EndpointPause? {
        val boundedMs = durationMs.coerceIn(0, MAX_PAUSE_MS)
        val spreadMs = random.nextLong(minOf(boundedMs / SPREAD_DIVISOR, MAX_SPREAD_MS) + 1)
        val pause = EndpointPause(nowMs + boundedMs + spreadMs)
        if (pause.untilMs <= (pauses[id]?.untilMs ?: Long.MIN_VALUE)) return null
        pauses[id] = pause
        return pause
    }

    /** Forgets pauses whose ramp has ended, and returns their endpoints. */
    fun removeEndedPauses(nowMs: Long): Set<EndpointId> {
        val ended = pauses.filterValues { it.isOver(nowMs) }.keys.toSet()
        pauses -= ended
        return ended
    }

    companion object {
        /** One day, in milliseconds. */
        const val MAX_PAUSE_MS = 86_400_000L
        private const val SPREAD_DIVISOR = 10
        private const val MAX_SPREAD_MS = 1_000L
        private const val MAX_LEAVING = 10_000
    }
}
