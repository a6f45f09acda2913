package io.oriolehall.cli

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import java.nio.file.Files
import java.nio.file.Path

/** Tests of the commands that validate settings and tickets before they are used. */
class CheckCommandsTest {
    @TempDir
    private lateinit var directory: Path

    private val settingsText = """
        [instance]
        id = entry-1
        zone = z1
        [listen]
        callers = 127.0.0.1:8080
        operators = 127.0.0.1:8081
        peers = 127.0.0.1:8082
        [platform]
        configuration = 127.0.0.1:9000
        instances = 127.0.0.1:9000
        [tokens]
        secret = sixteen characters or more
        [stop]
        wait = 30 s
    """.trimIndent()

    private val zoneJson = """{"kind": "zone", "id": "z3", "state": "out"}"""
    private val ticketJson = """{"number": 42, "author": "ana", "cause": "works", "objects": [$zoneJson]}"""

    private fun check(kind: String, text: String): CliktCommandTestResult =
        oriolehall().test(listOf("check", kind, Files.writeString(inputFile(kind), text).toString()))

    private fun inputFile(kind: String) = directory.resolve("given.$kind")

    private fun expectInvalidSettings(replacement: Pair<String, String>, vararg expectedTexts: String) {
        val text = settingsText.replace(replacement.first, replacement.second)
        expectThat(check("settings", text)) {
            get { statusCode } isEqualTo ExitCode.BAD_INPUT
            get { stdout } isEqualTo ""
            expectedTexts.forEach { expected -> get { stderr }.contains(expected) }
        }
    }

    private fun expectInvalidTicket(text: String, vararg expectedTexts: String) {
        expectThat(check("ticket", text)) {
            get { statusCode } isEqualTo ExitCode.BAD_INPUT
            get { stdout } isEqualTo ""
            get { stderr.trimEnd().lines().size } isEqualTo 1
            (expectedTexts.toList() + inputFile("ticket").toString()).forEach { expected ->
                get { stderr }.contains(expected)
            }
        }
    }

    @Test
    fun `correct settings are named with their instance and zone`() {
        expectThat(check("settings", settingsText)) {
            get { statusCode } isEqualTo 0
            get { stderr } isEqualTo ""
            get { stdout }.contains("settings of instance entry-1 in zone z1 are correct")
        }
    }

    @Test
    fun `an unknown key is named with its file and line`() =
        expectInvalidSettings("zone = z1" to "zone = z1\nzones = z2", "${inputFile("settings")}:4: ", "'zones'")

    @Test
    fun `a wrong unit is named with what to write instead`() =
        expectInvalidSettings(
            "wait = 30 s" to "wait = 30 sec",
            "${inputFile("settings")}:14: '30 sec'",
            "'wait = 30 s'",
        )

    @Test
    fun `a missing value is named with what to write instead`() =
        expectInvalidSettings("zone = z1" to "zone =", "${inputFile("settings")}:3: ", "'zone = zone-a'")

    @Test
    fun `a missing key is named with what to write`() =
        expectInvalidSettings("zone = z1\n" to "", "${inputFile("settings")}: ", "'zone = zone-a'")

    @Test
    fun `settings that cannot be read are an error of one line`() {
        expectThat(oriolehall().test(listOf("check", "settings", inputFile("settings").toString()))) {
            get { statusCode } isEqualTo ExitCode.BAD_INPUT
            get { stderr }.contains(inputFile("settings").toString())
            get { stderr.trimEnd().lines().size } isEqualTo 1
        }
    }

    @Test
    fun `a correct ticket is named with what it touches`() {
        expectThat(check("ticket", ticketJson)) {
            get { statusCode } isEqualTo 0
            get { stderr } isEqualTo ""
            get { stdout }.contains("ticket 42 is correct and touches zone/z3")
        }
    }

    @Test
    fun `an unknown key of a ticket is named`() =
        expectInvalidTicket(ticketJson.replace("\"author\"", "\"autor\""), "'autor'", "correct the JSON")

    @Test
    fun `a wrong value of a ticket is named`() =
        expectInvalidTicket(ticketJson.replace("42", "\"forty-two\""), "number", "correct the JSON")

    @Test
    fun `a missing value of a ticket is named with what to write`() =
        expectInvalidTicket(ticketJson.replace("\"ana\"", "\"\""), "author", "name the operator who issues the ticket")

    @Test
    fun `a ticket that is no JSON is an error of one line`() = expectInvalidTicket("{number:", "not a ticket")

    @Test
    fun `a ticket that cannot be read is an error of one line`() {
        expectThat(oriolehall().test(listOf("check", "ticket", inputFile("none").toString()))) {
            get { statusCode } isEqualTo ExitCode.BAD_INPUT
            get { stderr }.contains("cannot be read")
            get { stderr.trimEnd().lines().size } isEqualTo 1
        }
    }

    @Test
    fun `a command without its argument explains its use`() {
        expectThat(oriolehall().test(listOf("check", "ticket"))) {
            get { statusCode } isEqualTo ExitCode.BAD_INPUT
            get { stderr }.isNotEmpty().contains("Usage:")
        }
    }
}
