package io.oriolehall.runtime

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

class EventCatalogueTest {
    private val row = Regex("""\| (\d+) \| (\w+) \| (\w+) \| (.+?) \| (.+?) \|""")

    @Test
    fun `the catalogue lists exactly the events of the code`() {
        val listed = Files.readAllLines(Path.of("..", "docs", "EVENTS.md"))
            .mapNotNull(row::matchEntire)
            .map { it.groupValues.subList(1, 5) }
        val defined = Event.entries.sortedBy(Event::number)
            .map { listOf(it.number.toString(), it.name, it.level.name, it.text) }
        expectThat(listed) isEqualTo defined
    }

    @Test
    fun `no two events share a number`() {
        expectThat(Event.entries.map(Event::number).toSet().size) isEqualTo Event.entries.size
    }
}
