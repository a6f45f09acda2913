package io.oriolehall.standins.platform

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceList
import io.oriolehall.model.TicketPage
import io.oriolehall.standins.receiveJson
import io.oriolehall.standins.respondJson
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer

private const val PAGE_LIMIT = 1_000
private const val WATCH_MS = 30_000L

/** Answer of `POST /tickets`. */
@Serializable
data class PublishedRevision(val revision: Long)

/** What readers of the platform may call. */
internal fun Route.platformRoutes(store: PlatformStore, reads: ReadCounter) {
    get("/v1/tickets") {
        call.answerRead(store, reads) {
            call.respondJson(TicketPage.serializer(), store.page(call.number("after", 0), call.limit()))
        }
    }
    get("/v1/watch") {
        call.answerRead(store, reads) {
            val page = store.awaitPage(call.number("after", 0), call.limit(), call.number("waitMs", WATCH_MS))
            if (page == null) {
                call.respond(HttpStatusCode.ServiceUnavailable)
            } else {
                call.respondJson(TicketPage.serializer(), page)
            }
        }
    }
    get("/v1/instances") {
        call.answerRead(store, reads) { call.respondJson(InstanceList.serializer(), store.instances()) }
    }
}

/** What tests and the demo call to publish, to cause faults and to read the counts. */
internal fun Route.platformControlRoutes(store: PlatformStore, reads: ReadCounter) {
    post("/tickets") {
        val revision = store.publish(call.receiveText())
        call.respondJson(PublishedRevision.serializer(), PublishedRevision(revision))
    }
    put("/instances") {
        val instances = call.receiveJson(ListSerializer(Instance.serializer())) ?: return@put
        val lagMs = call.request.queryParameters["lagMs"]?.toLongOrNull()
        if (lagMs == null) store.publishInstances(instances) else store.publishInstances(instances, lagMs)
        call.respond(HttpStatusCode.NoContent)
    }
    put("/mode") {
        val mode = call.receiveJson(PlatformMode.serializer()) ?: return@put
        store.setMode(mode)
        call.respond(HttpStatusCode.NoContent)
    }
    get("/stats") { call.respondJson(PlatformStats.serializer(), reads.stats()) }
}

private suspend fun ApplicationCall.answerRead(store: PlatformStore, reads: ReadCounter, answer: suspend () -> Unit) {
    if (!reads.admit(request.path())) {
        respondText("read rate used up; read less often", status = HttpStatusCode.TooManyRequests)
        return
    }
    val mode = store.mode
    when (mode.mode) {
        PlatformState.DOWN -> return respond(HttpStatusCode.ServiceUnavailable)
        PlatformState.SLOW -> delay(mode.ms)
        PlatformState.UP, PlatformState.STALE -> Unit
    }
    answer()
}

private fun ApplicationCall.number(name: String, default: Long): Long =
    request.queryParameters[name]?.toLongOrNull() ?: default

private fun ApplicationCall.limit(): Int = number("limit", PAGE_LIMIT.toLong()).coerceIn(1, PAGE_LIMIT.toLong()).toInt()
