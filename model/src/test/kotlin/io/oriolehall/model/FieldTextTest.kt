package io.oriolehall.model

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class FieldTextTest {
    @Test
    fun `text without control characters and outer spaces is sendable`() {
        listOf("e-1", "r&d 1", "100%", "ăș", "日本", ",").forEach {
            expectThat(FieldText.isSendable(it)).describedAs(it).isTrue()
        }
        listOf("", " ", " e", "e ", "a\r\nb", "a\tb", "a\u0000", "a\u007F").forEach {
            expectThat(FieldText.isSendable(it)).describedAs("\"$it\"").isFalse()
        }
    }

    @Test
    fun `an element of a list has no separators`() {
        expectThat(FieldText.isSendableInList("10.0.0.1:80/5c1e")).isTrue()
        listOf("a,b", "a b", "", "a\n").forEach {
            expectThat(FieldText.isSendableInList(it)).describedAs("\"$it\"").isFalse()
        }
    }

    @Test
    fun `characters beyond ASCII become the octets of UTF-8`() {
        expectThat(FieldText.octets("e-1 %&#")).isEqualTo("e-1 %&#")
        expectThat(FieldText.octets("é").map(Char::code)).isEqualTo(listOf(0xC3, 0xA9))
        expectThat(FieldText.octets("ș").map(Char::code)).isEqualTo(listOf(0xC8, 0x99))
    }
}
