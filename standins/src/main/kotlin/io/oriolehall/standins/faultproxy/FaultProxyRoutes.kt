package io.oriolehall.standins.faultproxy

import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.oriolehall.standins.receiveJson
import io.oriolehall.standins.respondJson
import kotlinx.serialization.builtins.ListSerializer

/** How the proxy is driven. */
internal fun Route.faultProxyRoutes(proxy: FaultProxy) {
    post("/links") {
        val link = call.receiveJson(Link.serializer()) ?: return@post
        call.respondJson(LinkStatus.serializer(), proxy.open(link))
    }
    put("/links/{id}") {
        val target = call.receiveJson(LinkTarget.serializer()) ?: return@put
        val status = proxy.retarget(call.parameters["id"].orEmpty(), target.target)
        if (status == null) {
            call.respond(HttpStatusCode.NotFound)
        } else {
            call.respondJson(LinkStatus.serializer(), status)
        }
    }
    get("/links") { call.respondJson(ListSerializer(LinkStatus.serializer()), proxy.links()) }
    post("/faults") {
        val fault = call.receiveJson(Fault.serializer()) ?: return@post
        proxy.addFault(fault)
        call.respond(HttpStatusCode.NoContent)
    }
    delete("/faults") {
        proxy.clearFaults()
        call.respond(HttpStatusCode.NoContent)
    }
}
