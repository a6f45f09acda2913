package io.oriolehall.entry.config

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceList
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.PublishedTicket
import io.oriolehall.model.StrictJson
import io.oriolehall.model.Ticket
import io.oriolehall.model.TicketPage
import io.oriolehall.model.WireJson
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/** A configuration service and instance list that one or a few instances read. */
internal class FakePlatform : AutoCloseable {
    val tickets = MutableStateFlow(emptyList<Ticket>())

    /** True when the configuration service does not answer; the list of instances still does. */
    @Volatile
    var down = false

    @Volatile
    var instances = emptyList<Instance>()

    private val server = embeddedServer(CIO, host = "127.0.0.1", port = 0) {
        routing {
            get("/v1/watch") { watch(call) }
            get("/v1/instances") { respondInstances(call) }
        }
    }

    suspend fun start(): NetworkAddress {
        server.startSuspend(wait = false)
        return NetworkAddress("127.0.0.1", server.engine.resolvedConnectors().first().port)
    }

    override fun close() = server.stop(0, 0)

    private suspend fun watch(call: ApplicationCall) {
        val after = call.request.queryParameters["after"]!!.toInt()
        val waitMs = call.request.queryParameters["waitMs"]!!.toLong()
        if (!down) withTimeoutOrNull(waitMs) { tickets.first { it.size > after } }
        if (down) return call.respond(HttpStatusCode.ServiceUnavailable)
        val now = tickets.value
        val news = now.drop(after).mapIndexed { index, ticket ->
            PublishedTicket(after + index + 1L, StrictJson.encodeToString(Ticket.serializer(), ticket))
        }
        call.respondText(WireJson.encodeToString(TicketPage.serializer(), TicketPage(now.size.toLong(), news)))
    }

    private suspend fun respondInstances(call: ApplicationCall) =
        call.respondText(WireJson.encodeToString(InstanceList.serializer(), InstanceList(0, instances)))
}
