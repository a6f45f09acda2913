package io.oriolehall.gateway.requests

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class EventSplitterTest {
    private val splitter = EventSplitter()

    private fun append(text: String) = splitter.append(text.encodeToByteArray()).decodeToString()

    @Test
    fun `only whole events are passed on, wherever the bytes are cut`() {
        val stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"
        for (cut in 1 until stream.length) {
            val splitter = EventSplitter()
            val parts = listOf(stream.substring(0, cut), stream.substring(cut))
            val out = parts.joinToString("") { splitter.append(it.encodeToByteArray()).decodeToString() }
            expectThat(out).isEqualTo(stream)
            expectThat(splitter.lastEventId).isEqualTo("3")
            expectThat(splitter.eventCount).isEqualTo(3)
        }
    }

    @Test
    fun `the beginning of an event is kept back and can be dropped`() {
        expectThat(append("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n")
        expectThat(splitter.atBoundary).isFalse()
        splitter.dropIncompleteEvent()
        expectThat(splitter.atBoundary).isTrue()
        expectThat(append("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n")
    }
}
