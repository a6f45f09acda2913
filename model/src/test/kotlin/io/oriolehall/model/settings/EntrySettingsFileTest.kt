package io.oriolehall.model.settings

import io.oriolehall.model.NetworkAddress
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.single
import strikt.assertions.withElementAt

class EntrySettingsFileTest {
    private val validText = """
        ; an instance
        [instance]
        id = entry-1
        zone = z1
        [listen]
        callers = 127.0.0.1:0
        operators = 127.0.0.1:8081
        peers = 127.0.0.1:8082
        [platform]
        configuration = 127.0.0.1:9000
        instances = 127.0.0.1:9000
        [tokens]
        secret = a=b:c sixteen characters
        [translate]
        127.0.0.1:9001 = 127.0.0.1:20001
        127.0.0.1:9002=127.0.0.1:20002
    """.trimIndent()

    private fun errorsOf(text: String) = EntrySettingsFile.parse("e.ini", text).error

    @Test
    fun `a whole file becomes settings with defaults filled in`() {
        val settings = EntrySettingsFile.parse("e.ini", validText).value
        expectThat(settings) {
            get { instance.id.value } isEqualTo "entry-1"
            get { listen.callers } isEqualTo NetworkAddress("127.0.0.1", 0)
            get { tokens.secret } isEqualTo "a=b:c sixteen characters"
            get { policy.endpointChoice } isEqualTo "least-outstanding"
            get { dialled(NetworkAddress("127.0.0.1", 9002)) } isEqualTo NetworkAddress("127.0.0.1", 20_002)
        }
    }

    @Test
    fun `all errors are reported together in the order of their lines`() {
        val text = validText
            .replace("zone = z1", "zone = z1\nzones = z2")
            .replace("operators = 127.0.0.1:8081", "operators = localhost")
            .replace("id = entry-1\n", "")
            .replace("[tokens]", "[token]")
        expectThat(errorsOf(text).map { it.line to it::class }).containsExactly(
            4 to SettingsError.UnknownKey::class,
            7 to SettingsError.BadValue::class,
            12 to SettingsError.UnknownSection::class,
            null to SettingsError.MissingKey::class,
            null to SettingsError.MissingKey::class,
        )
    }

    @Test
    fun `an error names the file, the line, what is wrong and what to write instead`() {
        val errors = errorsOf(validText.replace("peers = 127.0.0.1:8082", "peers = 127.0.0.1:80820"))
        expectThat(errors).single().get { message } isEqualTo "e.ini:8: '127.0.0.1:80820' is no value for 'peers' of " +
            "[listen], which takes an IP number and a port from 0 to 65535, where 0 takes a free one; " +
            "write for example 'peers = 10.0.0.5:8082'"
    }

    @Test
    fun `duplicate keys, sections and mappings are errors`() {
        val text = "$validText\n127.0.0.1:9001 = 127.0.0.1:1\n[instance]\nid = entry-2"
        expectThat(errorsOf(text).map { it::class }).containsExactlyInAnyOrder(
            SettingsError.DuplicateKey::class,
            SettingsError.DuplicateSection::class,
            SettingsError.DuplicateKey::class,
        )
    }

    @Test
    fun `a key without a value is an error at its line`() {
        val errors = errorsOf(validText.replace("zone = z1", "zone ="))
        expectThat(errors).single().isA<SettingsError.BadValue>().get { line } isEqualTo 4
    }

    @Test
    fun `a key before the first section and a broken section are errors`() {
        val errors = errorsOf("id = x\n[instance")
        expectThat(errors) {
            withElementAt(0) { isA<SettingsError.OutsideSection>().get { line } isEqualTo 1 }
            withElementAt(1) { isA<SettingsError.Malformed>().get { line } isEqualTo 2 }
        }
    }

    @Test
    fun `a mapping needs an address on both sides`() {
        val errors = errorsOf(validText.replace("127.0.0.1:9001 = 127.0.0.1:20001", "127.0.0.1:9001 = there"))
        expectThat(errors).single().get { message }.contains("e.ini:15")
    }

    @Test
    fun `durations and sizes need a unit that is known`() {
        expectThat(durationSetting("4 s").parse) {
            get { this("4 s") } isEqualTo 4_000L
            get { this("250ms") } isEqualTo 250L
            get { this("4") }.isNull()
            get { this("4 sec") }.isNull()
        }
        expectThat(sizeSetting("1 MiB").parse("2 MiB")) isEqualTo 2_097_152L
    }
}
