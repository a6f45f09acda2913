package io.oriolehall.cli.client

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readUTF8Line

/** A server-sent event. */
internal data class ServerEvent(val name: String, val data: String)

/** Reads the next event, or null at the end of the stream. An event that was cut off is not handed on. */
internal suspend fun ByteReadChannel.readEvent(): ServerEvent? {
    var name = "message"
    val data = StringBuilder()
    while (true) {
        val line = readUTF8Line() ?: return null
        when {
            line.isEmpty() && data.isNotEmpty() -> return ServerEvent(name, data.toString())
            line.startsWith("event:") -> name = line.substringAfter(':').trim()
            line.startsWith("data:") -> data.append(line.substringAfter(':').removePrefix(" "))
        }
    }
}
