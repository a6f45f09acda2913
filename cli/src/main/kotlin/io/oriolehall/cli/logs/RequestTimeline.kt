package io.oriolehall.cli.logs

import io.oriolehall.runtime.Event
import java.time.Duration

/**
 * The timeline of one request in the logs of all instances. It contains the lines of the request itself and the events
 * of its instances that may have affected it, shortly before and during the request: changes of the platform, the
 * configuration, endpoints and other instances.
 */
internal class RequestTimeline(private val requestId: String, lines: List<LogLine>) {
    private val requestLines = lines.filter { it.requestId == requestId }.sortedBy(LogLine::timestamp)
    private val contextLines = if (requestLines.isEmpty()) emptyList() else lines.filter(::isContext)

    /** True if no line names the request. */
    val isEmpty: Boolean get() = requestLines.isEmpty()

    /** The lines in order of time, each with its offset in milliseconds from the first line of the request. */
    fun describe(): List<String> {
        val start = requestLines.first().timestamp
        return (requestLines + contextLines).sortedBy(LogLine::timestamp).map { line ->
            val offsetMs = Duration.between(start, line.timestamp).toMillis()
            val mark = if (line.requestId == requestId) "*" else " "
            val fields = (line.fields - "request").entries.joinToString(" ") { (name, value) -> "$name=$value" }
            "%s %+7d ms  %s  %d %s  %s".format(mark, offsetMs, line.logger, line.event, line.message, fields).trimEnd()
        }
    }

    private fun isContext(line: LogLine): Boolean =
        line.event in ContextEvents &&
            requestLines.any { it.logger == line.logger } &&
            line.timestamp >= arrivalTime().minus(ContextLeadTime) &&
            line.timestamp <= requestLines.last().timestamp

    /**
     * The arrival time of the request. The last line holds the time elapsed since then. The time of the first line is
     * not enough, because a refusal may be the only line.
     */
    private fun arrivalTime() = requestLines.minOf { line ->
        val elapsedMs = (line.fields["ms"] ?: line.fields["afterMs"])?.toLongOrNull() ?: 0
        line.timestamp.minusMillis(elapsedMs)
    }

    private companion object {
        /** Events of the process, the configuration, endpoints, zones and other instances. */
        val ContextEvents = setOf(
            Event.INSTANCE_STARTED,
            Event.INSTANCE_STOPPING,
            Event.LINES_DROPPED,
            Event.PLATFORM_UNREACHABLE,
            Event.PLATFORM_REACHED,
            Event.CONFIG_IN_FORCE,
            Event.FEED_HISTORY_GONE,
            Event.FEED_READ_FROM_PEER,
            Event.ENDPOINT_REGISTERED,
            Event.ENDPOINT_DRAINING,
            Event.ENDPOINT_WITHDRAWN,
            Event.ENDPOINT_LEAVING,
            Event.ENDPOINT_PAUSED,
            Event.ENDPOINT_PAUSE_ENDED,
            Event.REQUESTS_QUARANTINED,
            Event.QUARANTINE_ENDED,
            Event.ZONE_EVACUATED,
            Event.ZONE_RESTORED,
            Event.MEMBERSHIP_JOINED,
            Event.PROCESS_WAS_PAUSED,
            Event.MEMBER_CHANGED,
        ).mapTo(HashSet(), Event::number)

        /** How long before the arrival of a request an event may still have affected it. */
        val ContextLeadTime: Duration = Duration.ofSeconds(3)
    }
}
