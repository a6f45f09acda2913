package io.oriolehall.runtime

/**
 * Limits the rate of log lines per event with token buckets, so that a burst of requests cannot fill the log. Events of
 * successful or routine work have a lower limit than the others. Dropped lines are counted and reported at most once a
 * second. Thread-safe; a line over the limit is dropped without waiting.
 *
 * @param nowMs monotonic time in milliseconds.
 */
class BoundedEventLog(private val log: EventLog, private val nowMs: () -> Long) : EventLog {
    private class Bucket(var tokens: Double, var refilledAtMs: Long)

    private val buckets = HashMap<Event, Bucket>()
    private val dropped = sortedMapOf<Event, Int>()
    private var lastReportMs = nowMs()

    override fun write(event: Event, vararg fields: Pair<String, Any?>) {
        if (tryAcquire(event)) log.write(event, *fields)
        report()
    }

    /** Writes the number of lines dropped since the last report, per event; at most once a second. */
    fun report() {
        val counts = synchronized(this) {
            if (dropped.isEmpty() || nowMs() - lastReportMs < REPORT_INTERVAL_MS) return
            lastReportMs = nowMs()
            dropped.entries.joinToString(",") { (event, count) -> "${event.number}:$count" }.also { dropped.clear() }
        }
        log.write(Event.LINES_DROPPED, "lines" to counts)
    }

    private fun tryAcquire(event: Event): Boolean = synchronized(this) {
        val perSecond = if (event in RoutineEvents) ROUTINE_LINES_PER_SECOND else OTHER_LINES_PER_SECOND
        val now = nowMs()
        val bucket = buckets.getOrPut(event) { Bucket(perSecond * BURST_SECONDS, now) }
        val refill = (now - bucket.refilledAtMs) * perSecond / MS_PER_SECOND
        bucket.tokens = minOf(perSecond * BURST_SECONDS, bucket.tokens + refill)
        bucket.refilledAtMs = now
        val allowed = bucket.tokens >= 1
        if (allowed) bucket.tokens -= 1.0 else dropped.merge(event, 1, Int::plus)
        allowed
    }

    private companion object {
        val RoutineEvents =
            setOf(Event.REQUEST_ADMITTED, Event.REQUEST_SERVED, Event.STAGE_CALL_ENDED, Event.CALLER_LEFT)

        /** Lines per second for each event in [RoutineEvents]; an instance serves about 31 requests per second. */
        const val ROUTINE_LINES_PER_SECOND = 20.0

        /** Lines per second for any other event: above an instance's request rate, so that no failure is dropped. */
        const val OTHER_LINES_PER_SECOND = 100.0

        /** Capacity of a bucket, in seconds of its rate. */
        const val BURST_SECONDS = 2
        const val REPORT_INTERVAL_MS = 1_000L
        const val MS_PER_SECOND = 1_000
    }
}
