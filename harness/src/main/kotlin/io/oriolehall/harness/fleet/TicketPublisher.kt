package io.oriolehall.harness.fleet

import io.oriolehall.model.ConfigObject
import io.oriolehall.model.StrictJson
import io.oriolehall.model.Ticket
import java.util.concurrent.atomic.AtomicLong

/** Publishes change tickets at the platform, as an operator does. */
class TicketPublisher internal constructor(private val control: ControlHttp) {
    private val lastNumber = AtomicLong()

    /** Publishes [states] under the next number, and returns the ticket. */
    suspend fun publish(vararg states: ConfigObject, cause: String = "test"): Ticket = publish(states.toList(), cause)

    suspend fun publish(states: List<ConfigObject>, cause: String): Ticket {
        val ticket = Ticket(lastNumber.incrementAndGet(), author = "operator", cause = cause, objects = states)
        publishText(StrictJson.encodeToString(Ticket.serializer(), ticket))
        return ticket
    }

    /** Publishes [text] unchecked, for tickets that are wrong or out of order. */
    suspend fun publishText(text: String) {
        control.postText("/tickets", text)
    }
}
