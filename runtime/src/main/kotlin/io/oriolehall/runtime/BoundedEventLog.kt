package io.oriolehall.runtime

/**
 * Bounds how many lines of each event are written in a second, so that a burst of requests cannot fill the log. Lines
 * about work that went well have a smaller bound than the others. What is left out is counted and reported once a
 * second. Safe for use by several threads; never waits.
 *
 * @param nowMs monotonic time, milliseconds.
 */
class BoundedEventLog(private val log: EventLog, private val nowMs: () -> Long) : EventLog {
    private class Bucket(var tokens: Double, var atMs: Long)

    private val buckets = HashMap<Event, Bucket>()
    private val dropped = sortedMapOf<Event, Int>()
    private var reportedAtMs = nowMs()

    override fun write(event: Event, vararg fields: Pair<String, Any?>) {
        if (take(event)) log.write(event, *fields)
        report()
    }

    /** Writes what has been left out since the last report, at most once a second. */
    fun report() {
        val counts = synchronized(this) {
            if (dropped.isEmpty() || nowMs() - reportedAtMs < REPORT_MS) return
            reportedAtMs = nowMs()
            dropped.entries.joinToString(",") { (event, count) -> "${event.number}:$count" }.also { dropped.clear() }
        }
        log.write(Event.LINES_DROPPED, "lines" to counts)
    }

    private fun take(event: Event): Boolean = synchronized(this) {
        val perSecond = if (event in Routine) ROUTINE_PER_SECOND else NOTABLE_PER_SECOND
        val now = nowMs()
        val bucket = buckets.getOrPut(event) { Bucket(perSecond * BURST_S, now) }
        val earned = (now - bucket.atMs) * perSecond / MS_PER_SECOND
        bucket.tokens = minOf(perSecond * BURST_S, bucket.tokens + earned)
        bucket.atMs = now
        val allowed = bucket.tokens >= 1
        if (allowed) bucket.tokens -= 1.0 else dropped.merge(event, 1, Int::plus)
        allowed
    }

    private companion object {
        val Routine =
            setOf(Event.REQUEST_ADMITTED, Event.REQUEST_SERVED, Event.STAGE_CALL_ENDED, Event.CALLER_LEFT)

        /** Lines a second of an event about work that went well; an instance serves about 31 requests a second. */
        const val ROUTINE_PER_SECOND = 20.0

        /** Lines a second of any other event: more than an instance's requests, so that no failure is left out. */
        const val NOTABLE_PER_SECOND = 100.0
        const val BURST_S = 2
        const val REPORT_MS = 1_000L
        const val MS_PER_SECOND = 1_000
    }
}
