package io.oriolehall.gateway.feed

import io.oriolehall.dispatch.config.CallerLimits
import io.oriolehall.dispatch.config.ServingConfig
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class ChangeJournalTest {
    private fun configuration(version: Long) = PublishedChange.ConfigPublished(
        version,
        ServingConfig(version, emptyList(), emptyList(), CallerLimits(), emptyList()),
    )

    private fun registration(id: String, startedAtMs: Long = 1) = PublishedChange.EndpointRegistered(
        EndpointRecord(EndpointId(id), startedAtMs, "s", NetworkAddress("10.0.0.1", 1), ZoneId("z"), 1, false, 0),
    )

    private fun withdrawal(id: String) = PublishedChange.EndpointWithdrawn(EndpointId(id))

    private fun journalOf(vararg changes: PublishedChange, capacity: Int = 100) =
        ChangeJournal(capacity).apply { changes.forEach { add(listOf(it)) } }

    /** Guards against review case 2: every version was kept, and some hundred versions exhausted the heap. */
    @Test
    fun `of many configurations only the newest is kept and sent`() {
        val journal = journalOf(registration("a"))
        repeat(700) { journal.add(listOf(configuration(it + 1L))) }
        expectThat(journal.changesAfter(0)).isNotNull().containsExactly(registration("a"), configuration(700))
        expectThat(journal.changesAfter(300)).isNotNull().containsExactly(configuration(700))
        expectThat(journal.changesAfter(journal.position)).isNotNull().isEqualTo(emptyList())
    }

    @Test
    fun `a follower gets the newest change of each endpoint and zone, in order`() {
        val zone = ZoneId("z")
        val journal = journalOf(
            registration("a"),
            registration("b"),
            PublishedChange.ZoneEvacuated(zone),
            withdrawal("a"),
            registration("b", startedAtMs = 2),
            PublishedChange.ZoneRestored(zone),
        )
        expectThat(journal.changesAfter(1)).isNotNull()
            .containsExactly(withdrawal("a"), registration("b", startedAtMs = 2), PublishedChange.ZoneRestored(zone))
        expectThat(journal.changesAfter(4)).isNotNull()
            .containsExactly(registration("b", startedAtMs = 2), PublishedChange.ZoneRestored(zone))
    }

    @Test
    fun `a follower that would miss a dropped change gets none`() {
        val journal = journalOf(withdrawal("a"), withdrawal("b"), withdrawal("c"), capacity = 2)
        expectThat(journal.changesAfter(0)).isNull()
        expectThat(journal.changesAfter(1)).isNotNull().containsExactly(withdrawal("b"), withdrawal("c"))
        expectThat(journal.changesAfter(4)).isNull()
    }
}
