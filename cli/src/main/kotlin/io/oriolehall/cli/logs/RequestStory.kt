package io.oriolehall.cli.logs

import io.oriolehall.runtime.Event
import java.time.Duration

/**
 * What the logs of all instances say of one request: its own lines, and what its instances learnt of the platform, the
 * configuration, endpoints and each other shortly before and meanwhile, which may have decided it.
 */
internal class RequestStory(private val request: String, lines: List<LogLine>) {
    private val own = lines.filter { it.request == request }.sortedBy(LogLine::at)
    private val around = if (own.isEmpty()) emptyList() else lines.filter(::isAround)

    /** True when no line names the request. */
    val isEmpty: Boolean get() = own.isEmpty()

    /** The lines in order, each with its time in milliseconds after the request's first line. */
    fun describe(): List<String> {
        val start = own.first().at
        return (own + around).sortedBy(LogLine::at).map { line ->
            val ms = Duration.between(start, line.at).toMillis()
            val mark = if (line.request == request) "*" else " "
            val fields = (line.fields - "request").entries.joinToString(" ") { (name, value) -> "$name=$value" }
            "%s %+7d ms  %s  %d %s  %s".format(mark, ms, line.logger, line.event, line.message, fields).trimEnd()
        }
    }

    private fun isAround(line: LogLine): Boolean =
        line.event in Circumstances &&
            own.any { it.logger == line.logger } &&
            line.at >= arrival().minus(Before) &&
            line.at <= own.last().at

    /** The last line knows how long the request has been there; a refusal may be its only one. */
    private fun arrival() = own.minOf { line ->
        val elapsedMs = (line.fields["ms"] ?: line.fields["afterMs"])?.toLongOrNull() ?: 0
        line.at.minusMillis(elapsedMs)
    }

    private companion object {
        /** Process, configuration, endpoints, zones and other instances. */
        val Circumstances = setOf(
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
            Event.ZONE_EVACUATED,
            Event.ZONE_RESTORED,
            Event.MEMBERSHIP_JOINED,
            Event.PROCESS_WAS_PAUSED,
            Event.MEMBER_CHANGED,
        ).mapTo(HashSet(), Event::number)

        /** How long before its arrival something may have decided a request. */
        val Before: Duration = Duration.ofSeconds(3)
    }
}
