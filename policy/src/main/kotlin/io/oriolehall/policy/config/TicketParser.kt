package io.oriolehall.policy.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.oriolehall.model.StrictJson
import io.oriolehall.model.Ticket
import kotlinx.serialization.SerializationException

/**
 * Parses and validates tickets. The result is a pure function of the text and considers no other ticket. It is
 * therefore the same on every instance, whatever the order in which tickets arrive, and in the offline check.
 */
object TicketParser {
    /** Maximum size of a ticket, bytes of UTF-8. */
    const val MAX_TICKET_BYTES = 256 * 1024

    /** Maximum ticket number, so that a mistyped huge number cannot block all later changes of an object. */
    const val MAX_TICKET_NUMBER = 1_000_000_000_000L

    /** Parses [text]; returns the ticket, or why it is rejected. */
    fun parse(text: String): Result<Ticket, TicketError> {
        val bytes = text.encodeToByteArray().size
        if (bytes > MAX_TICKET_BYTES) return Err(TicketError.TooLarge(bytes, MAX_TICKET_BYTES))
        val ticket = try {
            StrictJson.decodeFromString(Ticket.serializer(), text)
        } catch (e: SerializationException) {
            return Err(TicketError.Malformed(e.firstLine()))
        } catch (e: IllegalArgumentException) {
            return Err(TicketError.Malformed(e.firstLine()))
        }
        return check(ticket)?.let { Err(it) } ?: Ok(ticket)
    }

    private fun check(ticket: Ticket): TicketError? =
        checkFields(ticket) ?: checkDuplicates(ticket)
            ?: ticket.objects.firstNotNullOfOrNull(ConfigObjectValidator::check)

    private fun checkFields(ticket: Ticket): TicketError? = when {
        ticket.number !in 1..MAX_TICKET_NUMBER -> TicketError.BadField("number", "use one in 1..$MAX_TICKET_NUMBER")
        ticket.author.isBlank() -> TicketError.BadField("author", "name the operator who issues the ticket")
        ticket.cause.isBlank() -> TicketError.BadField("cause", "say why the change is made")
        ticket.objects.isEmpty() -> TicketError.BadField("objects", "name at least one object")
        else -> null
    }

    private fun checkDuplicates(ticket: Ticket): TicketError? = ticket.objects
        .groupingBy { it.key }
        .eachCount()
        .entries
        .firstOrNull { it.value > 1 }
        ?.let { TicketError.DuplicateObject(it.key.toString()) }

    private fun Exception.firstLine() = message.orEmpty().lineSequence().first()
}
