package io.oriolehall.cli.client

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readUTF8Line

/** A server-sent event. */
internal data class ServerSentEvent(val name: String, val data: String)

/** Reads the next event. Returns null at the end of the stream; an incomplete last event is discarded. */
internal suspend fun ByteReadChannel.readEvent(): ServerSentEvent? {
    var name = "message"
    val data = StringBuilder()
    while (true) {
        val line = readUTF8Line() ?: return null
        when {
            line.isEmpty() && data.isNotEmpty() -> return ServerSentEvent(name, data.toString())
            line.startsWith("event:") -> name = line.substringAfter(':').trim()
            line.startsWith("data:") -> data.append(line.substringAfter(':').removePrefix(" "))
        }
    }
}
