package io.oriolehall.entry.http

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import io.oriolehall.entry.answers.Answer
import io.oriolehall.entry.answers.AnswerItem
import io.oriolehall.model.AcceptedEvent
import io.oriolehall.model.ChunkEvent
import io.oriolehall.model.EndEvent
import io.oriolehall.model.InstanceId
import io.oriolehall.model.Problem
import io.oriolehall.model.RequestId
import io.oriolehall.model.WireJson
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

/**
 * Sends the answer of this instance from byte [offset] as server-sent events. A refusal that comes before any text is
 * sent as a problem document with its own status instead.
 */
internal suspend fun ApplicationCall.respondAnswer(answer: Answer, instance: InstanceId, offset: Long = 0) {
    val refusal = answer.refusalBeforeText(offset)
    if (refusal != null) return respondRefusal(refusal)
    respondEvents(answer.requestId, instance) { answer.follow(offset) { writeItem(it) } }
}

/** Sends an answer that another instance hands on by [follow], in the same form. */
internal suspend fun ApplicationCall.respondRelayed(
    id: RequestId,
    instance: InstanceId,
    follow: suspend (onItem: suspend (AnswerItem) -> Unit) -> Unit,
) = coroutineScope {
    val items = Channel<AnswerItem>(Channel.RENDEZVOUS)
    val feeding = launch {
        follow { items.send(it) }
        items.close()
    }
    val first = items.receive()
    if (first is AnswerItem.Refused) {
        respondRefusal(first.refusal)
    } else {
        respondEvents(id, instance) {
            writeItem(first)
            for (item in items) writeItem(item)
        }
    }
    feeding.cancel()
}

/** Writes on whichever thread brings the next item, which never blocks, so that no other is woken for each token. */
private suspend fun ApplicationCall.respondEvents(
    id: RequestId,
    instance: InstanceId,
    write: suspend ByteWriteChannel.() -> Unit,
) {
    response.header(HttpHeaders.CacheControl, "no-store")
    response.header(REQUEST_ID_HEADER, id.value)
    respondBytesWriter(ContentType.Text.EventStream) {
        withContext(Dispatchers.Unconfined) {
            writeEvent("accepted", WireJson.encodeToString(AcceptedEvent.serializer(), AcceptedEvent(id, instance)))
            write()
        }
    }
}

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
    flush()
}
