package io.oriolehall.runtime

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEmpty

class BoundedEventLogTest {
    private var nowMs = 0L
    private val writtenEvents = mutableListOf<Pair<Event, Map<String, Any?>>>()
    private val log = BoundedEventLog({ event, fields -> writtenEvents += event to fields.toMap() }, { nowMs })

    private fun writtenOf(event: Event) = writtenEvents.filter { it.first == event }

    /** The load is three times the 31 requests per second of an instance; one request in ten fails. */
    @Test
    fun `under load all failures are written and a sample of what went well`() {
        for (step in 0 until 930) {
            nowMs = step * 1_000L / 93
            log.write(if (step % 10 == 0) Event.REQUEST_FAILED else Event.REQUEST_SERVED)
        }
        expectThat(writtenOf(Event.REQUEST_FAILED)).hasSize(93)
        expectThat(writtenOf(Event.REQUEST_SERVED)).isNotEmpty().get { size }.isLessThanOrEqualTo(20 * 10 + 40)
    }

    @Test
    fun `what is left out is counted`() {
        repeat(1_000) { log.write(Event.REQUEST_REFUSED, "request" to it) }
        nowMs = 1_000
        log.report()
        val kept = writtenOf(Event.REQUEST_REFUSED).size
        expectThat(writtenOf(Event.LINES_DROPPED)).hasSize(1)
            .get { first().second }.isEqualTo(mapOf("lines" to "401:${1_000 - kept}"))
    }

    @Test
    fun `a flood of one event leaves the others their lines`() {
        repeat(10_000) { log.write(Event.REQUEST_SERVED) }
        log.write(Event.PLATFORM_UNREACHABLE)
        expectThat(writtenEvents.map { it.first }).contains(Event.PLATFORM_UNREACHABLE)
    }
}
