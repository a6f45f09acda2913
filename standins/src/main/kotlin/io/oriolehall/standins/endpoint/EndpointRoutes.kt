package io.oriolehall.standins.endpoint

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.utils.io.writeStringUtf8
import io.oriolehall.model.CacheEventPage
import io.oriolehall.model.EngineOrder
import io.oriolehall.model.LoadReport
import io.oriolehall.model.OrderResult
import io.oriolehall.model.StageCall
import io.oriolehall.model.StageResult
import io.oriolehall.model.StreamLine
import io.oriolehall.model.WireJson
import io.oriolehall.standins.receiveJson
import io.oriolehall.standins.respondJson
import kotlinx.coroutines.awaitCancellation

private val JsonLines = ContentType.parse("application/jsonl")
private const val LINES_BEFORE_STALL = 8

/** What the system calls. */
internal fun Route.endpointRoutes(endpoint: EndpointServer) {
    post("/run") {
        val stageCall = call.receiveJson(StageCall.serializer()) ?: return@post
        call.answer(endpoint.run(stageCall))
    }
    get("/streams/{id}") {
        val stream = endpoint.streams.find(call.parameters["id"].orEmpty())
        val offset = call.request.queryParameters["offset"]?.toLongOrNull() ?: 0
        if (stream == null) call.respond(HttpStatusCode.NotFound) else call.respondStream(stream, offset, copies = 1)
    }
    delete("/streams/{id}") {
        endpoint.streams.cancel(call.parameters["id"].orEmpty())
        call.respond(HttpStatusCode.NoContent)
    }
    get("/load") { call.respondJson(LoadReport.serializer(), endpoint.loadReport()) }
    get("/events") {
        val after = call.request.queryParameters["after"]?.toLongOrNull() ?: 0
        call.respondJson(CacheEventPage.serializer(), endpoint.cacheEvents(after))
    }
    post("/orders") {
        val order = call.receiveJson(EngineOrder.serializer()) ?: return@post
        val result = endpoint.order(order)
        val status = if (result.accepted) HttpStatusCode.OK else HttpStatusCode.Conflict
        call.respondJson(OrderResult.serializer(), result, status)
    }
}

/** What tests and the demo call to cause faults and to read the counts. */
internal fun Route.endpointControlRoutes(endpoint: EndpointServer) {
    get("/stats") { call.respondJson(EndpointStats.serializer(), endpoint.stats()) }
    put("/behaviour") {
        val behaviour = call.receiveJson(Behaviour.serializer()) ?: return@put
        endpoint.behave(behaviour)
        call.respond(HttpStatusCode.NoContent)
    }
}

private suspend fun ApplicationCall.answer(outcome: CallOutcome) = when (outcome) {
    is CallOutcome.Declined -> respondText(outcome.reason, status = HttpStatusCode.fromValue(outcome.status))
    is CallOutcome.Failed -> respondText(outcome.reason, status = HttpStatusCode.fromValue(outcome.status))
    is CallOutcome.Answered -> respondResult(outcome)
    is CallOutcome.Streaming -> respondStream(outcome.stream, 0, outcome.copies)
}

private suspend fun ApplicationCall.respondResult(outcome: CallOutcome.Answered) {
    if (outcome.copies == 0) awaitCancellation()
    val text = WireJson.encodeToString(StageResult.serializer(), outcome.result)
    respondText(List(outcome.copies) { text }.joinToString("\n"), ContentType.Application.Json)
}

private suspend fun ApplicationCall.respondStream(stream: GeneratedStream, offset: Long, copies: Int) =
    respondBytesWriter(JsonLines) {
        var sent = 0
        stream.follow(offset).collect { line ->
            if (copies == 0 && sent++ == LINES_BEFORE_STALL) awaitCancellation()
            val text = WireJson.encodeToString(StreamLine.serializer(), line) + "\n"
            repeat(copies.coerceAtLeast(1)) { writeStringUtf8(text) }
            flush()
        }
    }
