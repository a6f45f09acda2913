package io.oriolehall.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import io.oriolehall.policy.config.TicketParser
import java.io.IOException
import java.nio.file.Files

/** Validates a change ticket with the parser that the instances use. */
internal class CheckTicketCommand : CliktCommand(name = "ticket") {
    private val file by argument(help = "JSON file of a ticket").path()

    override fun help(context: Context) = "Checks a change ticket before it is published."

    override fun run() {
        val parsed = TicketParser.parse(readFile())
        if (parsed.isErr) failBadInput(parsed.error.message)
        val ticket = parsed.value
        echo("$file: ticket ${ticket.number} is correct and touches ${ticket.objects.joinToString { "${it.key}" }}")
    }

    private fun readFile(): String = try {
        Files.readString(file)
    } catch (e: IOException) {
        failBadInput("cannot be read (${e.message}); give the path of a readable file")
    }

    private fun failBadInput(reason: String): Nothing {
        fail("$file: $reason", ExitCode.BAD_INPUT)
    }
}
