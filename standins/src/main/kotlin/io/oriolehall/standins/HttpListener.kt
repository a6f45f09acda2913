package io.oriolehall.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.WireJson
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException

/** Serves [routes] at [address] and returns the address in use. */
internal suspend fun listenHttp(address: NetworkAddress, routes: Route.() -> Unit): NetworkAddress {
    val server = embeddedServer(CIO, port = address.port, host = address.host) { routing(routes) }
    server.startSuspend(wait = false)
    val port = server.engine.resolvedConnectors().first().port
    return NetworkAddress(address.host, port)
}

/** Answers [value] as JSON. */
internal suspend fun <T> ApplicationCall.respondJson(
    serializer: KSerializer<T>,
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) = respondText(WireJson.encodeToString(serializer, value), ContentType.Application.Json, status)

/** The body read as JSON, or null after answering 400 when it is not what [serializer] expects. */
internal suspend fun <T> ApplicationCall.receiveJson(serializer: KSerializer<T>): T? = try {
    WireJson.decodeFromString(serializer, receiveText())
} catch (e: SerializationException) {
    respondText("body not understood: ${e.message}", status = HttpStatusCode.BadRequest)
    null
}
