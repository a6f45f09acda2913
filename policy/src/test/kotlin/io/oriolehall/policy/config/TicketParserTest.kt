package io.oriolehall.policy.config

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

class TicketParserTest {
    private fun text(objects: String, number: String = "3", author: String = "ana") =
        """{"number":$number,"author":"$author","cause":"test","objects":[$objects]}"""

    private val zone = """{"kind":"zone","id":"a","state":"out"}"""

    @Test
    fun `a whole ticket is accepted`() {
        expectThat(TicketParser.parse(text(zone)).value.number).isEqualTo(3)
    }

    @Test
    fun `text that is not a ticket is malformed`() {
        expectThat(TicketParser.parse("{").error).isA<TicketError.Malformed>()
        expectThat(TicketParser.parse(text("""{"kind":"zone","id":"a","colour":"red"}""")).error)
            .isA<TicketError.Malformed>()
    }

    @Test
    fun `numbers out of range and missing names are bad fields`() {
        expectThat(TicketParser.parse(text(zone, number = "0")).error).isA<TicketError.BadField>()
        expectThat(TicketParser.parse(text(zone, number = "1000000000001")).error).isA<TicketError.BadField>()
        expectThat(TicketParser.parse(text(zone, author = " ")).error).isA<TicketError.BadField>()
        expectThat(TicketParser.parse(text("")).error).isA<TicketError.BadField>()
    }

    @Test
    fun `one object twice is rejected`() {
        expectThat(TicketParser.parse(text("$zone,$zone")).error).isEqualTo(TicketError.DuplicateObject("zone/a"))
    }

    @Test
    fun `a ticket over the size limit is rejected before it is read`() {
        val oversizedText = text(zone, author = "a".repeat(TicketParser.MAX_TICKET_BYTES))
        expectThat(TicketParser.parse(oversizedText).error).isA<TicketError.TooLarge>()
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            """{"kind":"zone","id":"a b"}""",
            """{"kind":"organisation","id":"o","secretSha256":[]}""",
            """{"kind":"organisation","id":"o","secretSha256":["ABC"]}""",
            """{"kind":"pipeline","id":"p","stages":[]}""",
            """{"kind":"pipeline","id":"p","stages":[{"name":"s","kind":"call","pool":"x","expectedMs":0}]}""",
            """{"kind":"endpoint","id":"e","zone":"a","pool":"x","address":{"host":"127.0.0.1","port":0}}""",
            """{"kind":"endpoint","id":"e","zone":"a","pool":"x","address":{"host":"h","port":1},"coldLimit":99}""",
            """{"kind":"engine","endpoint":"e","model":"","version":"1"}""",
            """{"kind":"witnesses","instances":["a","a"]}""",
        ],
    )
    fun `an object that cannot be put in force is rejected with a remedy`(target: String) {
        expectThat(TicketParser.parse(text(target)).error).isA<TicketError.BadObject>()
    }
}
