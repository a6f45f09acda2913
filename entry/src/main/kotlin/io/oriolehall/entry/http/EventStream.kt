package io.oriolehall.entry.http

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import io.oriolehall.entry.answers.AnswerItem
import io.oriolehall.model.AcceptedEvent
import io.oriolehall.model.ChunkEvent
import io.oriolehall.model.EndEvent
import io.oriolehall.model.InstanceId
import io.oriolehall.model.Problem
import io.oriolehall.model.RequestId
import io.oriolehall.model.WireJson
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

/** Where an answer comes from: hands its items on from a byte offset, up to and with the ending. */
internal typealias AnswerSource = suspend (onItem: suspend (AnswerItem) -> Unit) -> Unit

/**
 * Sends an answer as server-sent events. A refusal that comes before any text is sent as a problem document with its
 * own status instead.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal suspend fun ApplicationCall.respondAnswer(id: RequestId, instance: InstanceId, source: AnswerSource) =
    coroutineScope {
        val items = Channel<AnswerItem>(ITEMS_AT_HAND)
        val feeding = launch {
            source { items.send(it) }
            items.close()
        }
        val first = items.receive()
        if (first is AnswerItem.Refused) {
            respondRefusal(first.refusal)
        } else {
            response.header(HttpHeaders.CacheControl, "no-store")
            response.header(REQUEST_ID_HEADER, id.value)
            respondBytesWriter(ContentType.Text.EventStream) {
                writeEvent("accepted", WireJson.encodeToString(AcceptedEvent.serializer(), AcceptedEvent(id, instance)))
                writeItem(first)
                flush()
                for (item in items) {
                    writeItem(item)
                    if (items.isEmpty) flush()
                }
                flush()
            }
        }
        feeding.cancel()
    }

/** Items that one write to the connection may take together. */
private const val ITEMS_AT_HAND = 32

internal const val REQUEST_ID_HEADER = "Request-Id"

private suspend fun ByteWriteChannel.writeItem(item: AnswerItem) {
    when (item) {
        is AnswerItem.Chunk -> {
            val next = item.offset + item.text.encodeToByteArray().size
            writeEvent(
                "chunk",
                WireJson.encodeToString(ChunkEvent.serializer(), ChunkEvent(item.offset, item.text)),
                next,
            )
        }

        is AnswerItem.End ->
            writeEvent("end", WireJson.encodeToString(EndEvent.serializer(), EndEvent(item.length, item.sha256)))

        is AnswerItem.Refused ->
            writeEvent("problem", WireJson.encodeToString(Problem.serializer(), item.refusal.toProblem()))
    }
}

private suspend fun ByteWriteChannel.writeEvent(name: String, data: String, id: Long? = null) {
    val idLine = if (id == null) "" else "id: $id\n"
    writeStringUtf8("event: $name\n${idLine}data: $data\n\n")
}
