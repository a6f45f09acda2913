package io.oriolehall.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import io.oriolehall.model.StrictJson
import io.oriolehall.model.Ticket
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.nio.file.Files

/** Checks a change ticket. */
internal class CheckTicketCommand : CliktCommand(name = "ticket") {
    private val file by argument(help = "JSON file of a ticket").path()

    override fun help(context: Context) = "Checks a change ticket before it is published."

    override fun run() {
        val ticket = read()
        val objects = ticket.objects.map { it.key }
        val doubled = objects.groupBy { it }.filterValues { it.size > 1 }.keys
        if (doubled.isNotEmpty()) fail("${doubled.joinToString()} stands more than once; state each object once")
        if (ticket.number < 1) fail("number ${ticket.number} is not positive; use the next free ticket number")
        echo("$file: ticket ${ticket.number} is correct and touches ${objects.joinToString()}")
    }

    private fun read(): Ticket = try {
        StrictJson.decodeFromString(Ticket.serializer(), Files.readString(file))
    } catch (e: IOException) {
        fail("cannot be read (${e.message}); give the path of a readable file")
    } catch (e: SerializationException) {
        fail("is not a ticket: ${e.message?.lineSequence()?.first()}")
    }

    private fun fail(reason: String): Nothing {
        fail("$file: $reason", ExitCode.BAD_INPUT)
    }
}
