package io.oriolehall.runtime

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.readLines

class EventCatalogueTest {
    private val catalogue = Path.of("..", "docs", "EVENTS.md").readLines()
        .filter { it.matches(Regex("""\| \d+ \|.*""")) }
        .map { line -> line.split('|').map(String::trim).drop(1).take(3).joinToString(" | ") }

    @Test
    fun `the catalogue lists every event as the code has it`() {
        val events = Event.entries.map { "${it.number} | ${it.level} | ${it.text}" }
        expectThat(catalogue.sorted()).isEqualTo(events.sorted())
    }

    @Test
    fun `no two events share a number`() {
        expectThat(Event.entries.map(Event::number).toSet()).hasSize(Event.entries.size)
    }
}
