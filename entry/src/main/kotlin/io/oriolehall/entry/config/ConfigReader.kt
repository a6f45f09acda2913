package io.oriolehall.entry.config

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.PublishedTicket
import io.oriolehall.model.StrictJson
import io.oriolehall.model.Ticket
import io.oriolehall.model.TicketPage
import io.oriolehall.model.WireJson
import io.oriolehall.policy.config.TicketState
import io.oriolehall.runtime.AuditTrail
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException

/** Follows the configuration service and publishes the configuration in force. Runs on the control thread. */
class ConfigReader(
    private val http: HttpClient,
    private val service: NetworkAddress,
    private val scope: CoroutineScope,
    private val audit: AuditTrail,
    private val log: EventLog,
) {
    private val mutableState = MutableStateFlow(TicketState())
    private var revision = 0L
    private var reachable = true

    /** Tickets known and the configuration that follows from them. */
    val state: StateFlow<TicketState> = mutableState.asStateFlow()

    fun start() {
        scope.launch {
            while (isActive) {
                if (!readOnce()) delay(BACK_OFF_MS)
            }
        }
    }

    private suspend fun readOnce(): Boolean {
        val page = try {
            fetch()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            null
        }
        noteReachable(page != null)
        page?.tickets?.forEach(::take)
        return page != null
    }

    private suspend fun fetch(): TicketPage? {
        val response = http.get("http://$service/v1/watch?after=$revision&waitMs=$WATCH_MS&limit=$PAGE_SIZE")
        if (!response.status.isSuccess()) return null
        return WireJson.decodeFromString(TicketPage.serializer(), response.bodyAsText())
    }

    private fun noteReachable(now: Boolean) {
        if (now == reachable) return
        reachable = now
        log.write(if (now) Event.PLATFORM_REACHED else Event.PLATFORM_UNREACHABLE, "service" to service)
    }

    private fun take(published: PublishedTicket) {
        revision = maxOf(revision, published.revision)
        val ticket = try {
            StrictJson.decodeFromString(Ticket.serializer(), published.text)
        } catch (e: SerializationException) {
            log.write(Event.TICKET_REJECTED, "revision" to published.revision, "error" to e.message)
            return
        }
        accept(ticket)
    }

    private fun accept(ticket: Ticket) {
        val before = mutableState.value
        val after = before.accept(ticket)
        if (after === before) return
        mutableState.value = after
        log.write(Event.TICKET_IN_FORCE, "ticket" to ticket.number)
        for (changed in ticket.objects) {
            val old = before.config.objects[changed.key]?.state
            val new = after.config.objects[changed.key]?.state
            if (old != new) {
                audit.record(ticket.author, changed.key.toString(), ticket.cause, ticket.number, "$old", "$new")
            }
        }
    }

    private companion object {
        const val WATCH_MS = 20_000L
        const val PAGE_SIZE = 500
        const val BACK_OFF_MS = 500L
    }
}
