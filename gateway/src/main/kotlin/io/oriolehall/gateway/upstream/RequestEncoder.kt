package io.oriolehall.gateway.upstream

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder

/**
 * Writes the target of a request as the octets that its characters stand for. [HttpRequestEncoder] writes UTF-8, but
 * the decoder of callers' requests reads each octet as one character, so that octets above 0x7F would be doubled.
 */
internal class RequestEncoder : HttpRequestEncoder() {
    override fun encodeInitialLine(buffer: ByteBuf, request: HttpRequest) {
        buffer.writeBytes(request.method().asciiName().toByteArray())
        buffer.writeByte(' '.code)
        buffer.writeCharSequence(request.uri(), Charsets.ISO_8859_1)
        buffer.writeByte(' '.code)
        buffer.writeCharSequence(request.protocolVersion().text(), Charsets.US_ASCII)
        buffer.writeShort(CRLF)
    }

    private companion object {
        const val CRLF = 0x0D0A
    }
}
