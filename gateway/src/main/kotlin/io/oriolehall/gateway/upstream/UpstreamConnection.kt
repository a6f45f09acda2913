package io.oriolehall.gateway.upstream

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.channels.Channel.Factory.UNLIMITED
import kotlinx.coroutines.channels.Channel as EventQueue

/**
 * A connection to an endpoint that carries one request at a time. Any byte outside the response to the current request
 * makes the connection unusable, because it may belong to the response to another request. Used on the traffic thread
 * only.
 */
class UpstreamConnection internal constructor(internal val memory: AnswerMemory) : ChannelInboundHandlerAdapter() {
    private val decoder = ResponseDecoder()
    private val events = EventQueue<UpstreamEvent>(UNLIMITED)
    private var queuedBytes = 0
    private var responsePending = false
    private var failure: String? = null
    private lateinit var channel: Channel

    /** False once the connection cannot carry another request. */
    var reusable = true
        private set

    /** Time for which the endpoint keeps an idle connection open, milliseconds. */
    var keepAliveTimeoutMs = DEFAULT_KEEP_ALIVE_TIMEOUT_MS
        private set

    /** Is called with the head of each response, before it is received. */
    internal var onHead: (UpstreamEvent.Head) -> Unit = {}

    /** Is called with the error when a response cannot be decoded. */
    internal var onMalformed: (String) -> Unit = {}

    /** When the connection became idle, monotonic milliseconds. */
    var idleSinceMs = 0L

    /** True once a request has been written to this connection. */
    var used = false
        private set

    /** False while a request is being written, which may last beyond the end of its response. */
    var requestWritten = true
        private set

    val isOpen: Boolean get() = channel.isActive && reusable

    internal fun install(channel: Channel) {
        this.channel = channel
        channel.pipeline().addLast(decoder, RequestEncoder(), this)
    }

    /** Writes a request. Returns false when the connection was already closed; no byte was sent then. */
    fun send(method: String, uri: String, headers: HttpHeaders, body: ByteArray): Boolean {
        if (!isOpen) return false
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(method),
            uri,
            Unpooled.wrappedBuffer(body),
            headers,
            io.netty.handler.codec.http.EmptyHttpHeaders.INSTANCE,
        )
        decoder.beginResponse(headRequest = method == "HEAD")
        responsePending = true
        used = true
        requestWritten = false
        channel.writeAndFlush(message).addListener { onWriteEnded(it.cause()) }
        return true
    }

    /**
     * A write that is in progress fails before the end of the connection is reported, so that a response without a
     * length that ends before its request was written is broken.
     */
    private fun onWriteEnded(cause: Throwable?) {
        if (cause == null) requestWritten = true else fail("write failed: $cause")
    }

    suspend fun receive(): UpstreamEvent {
        val event = events.receive()
        if (event is UpstreamEvent.Data) {
            queuedBytes -= event.bytes.size + EVENT_OVERHEAD_BYTES
            if (queuedBytes < LOW_WATER_BYTES) channel.config().isAutoRead = true
        }
        return event
    }

    fun close() {
        reusable = false
        channel.close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        try {
            when {
                !responsePending -> fail("bytes outside an answer")
                decoderFailed(msg) -> failMalformed((msg as HttpObject).decoderResult().cause())
                else -> handleMessage(msg)
            }
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    private fun handleMessage(msg: Any) {
        if (msg is HttpResponse) {
            val status = msg.status().code()
            if (status in INFORMATIONAL) return
            if (!HttpUtil.isKeepAlive(msg)) reusable = false
            val endsWithConnection = isUnframed(msg) && mayHaveBody(status)
            if (endsWithConnection) reusable = false
            readKeepAliveTimeout(msg.headers())
            awaitingFinalHead = false
            decoder.onFinalHead()
            val head = UpstreamEvent.Head(status, msg.headers(), endsWithConnection)
            onHead(head)
            events.trySend(head)
        }
        if (msg is HttpContent && !awaitingFinalHead) {
            enqueue(msg.content())
            if (msg is LastHttpContent) endResponse()
        }
        if (msg is LastHttpContent) awaitingFinalHead = true
    }

    /** True until the final response head has arrived: the decoder emits an empty last content after each 1xx head. */
    private var awaitingFinalHead = true

    private fun isUnframed(response: HttpResponse): Boolean =
        !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response)

    private fun mayHaveBody(status: Int): Boolean =
        !decoder.headRequest && status != NO_CONTENT && status != NOT_MODIFIED

    private fun enqueue(content: ByteBuf) {
        if (!content.isReadable) return
        val bytes = ByteArray(content.readableBytes())
        content.readBytes(bytes)
        queuedBytes += bytes.size + EVENT_OVERHEAD_BYTES
        if (queuedBytes > HIGH_WATER_BYTES) channel.config().isAutoRead = false
        events.trySend(UpstreamEvent.Data(bytes))
    }

    private fun endResponse() {
        if (failure != null) return
        responsePending = false
        if (decoder.unreadBytes() > 0) reusable = false
        events.trySend(UpstreamEvent.End)
    }

    private fun readKeepAliveTimeout(headers: HttpHeaders) {
        val seconds = headers.get(HttpHeaderNames.KEEP_ALIVE.toString())
            ?.substringAfter("timeout=", "")
            ?.takeWhile(Char::isDigit)
            ?.toLongOrNull()
        if (seconds != null) keepAliveTimeoutMs = seconds * MS_PER_SECOND
    }

    private fun decoderFailed(msg: Any): Boolean =
        msg is HttpObject && msg.decoderResult().isFailure

    private fun failMalformed(cause: Throwable) {
        val error = cause.toString().take(MAX_ERROR_CHARS)
        if (failure == null) onMalformed(error)
        fail("not an HTTP answer: $error")
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) = fail(cause.toString())

    override fun channelInactive(ctx: ChannelHandlerContext) = fail("connection closed")

    private fun fail(reason: String) {
        reusable = false
        if (failure == null) {
            failure = reason
            if (responsePending) events.trySend(UpstreamEvent.Broken(reason))
        }
        if (channel.isOpen) channel.close()
    }

    /** Decodes responses, checks their status, and reports the bytes received beyond the last one. */
    private class ResponseDecoder : HttpResponseDecoder(
        HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES).setMaxChunkSize(MAX_CHUNK_BYTES),
    ) {
        var headRequest = false
            private set
        private var awaitsHead = false
        private var bytesBeforeHead = 0

        fun beginResponse(headRequest: Boolean) {
            this.headRequest = headRequest
            awaitsHead = true
            bytesBeforeHead = 0
        }

        fun onFinalHead() {
            awaitsHead = false
        }

        /**
         * Limits all that precedes the end of the head. The decoder limits a single head, but not heads of interim
         * answers or blank lines before the final one.
         */
        override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
            val readableBefore = buffer.readableBytes()
            super.decode(ctx, buffer, out)
            if (!awaitsHead) return
            bytesBeforeHead += readableBefore - buffer.readableBytes()
            if (bytesBeforeHead >
                MAX_BYTES_BEFORE_HEAD
            ) {
                throw TooLongHttpHeaderException("no head in $bytesBeforeHead bytes")
            }
        }

        fun unreadBytes(): Int = actualReadableBytes()

        /** The decoder accepts any integer, for example 000, 1000 and +200. */
        override fun createMessage(initialLine: Array<String>): HttpMessage {
            val status = initialLine[1]
            require(STATUS.matches(status)) { "status '$status' is not three digits from 100 to 599" }
            return super.createMessage(initialLine)
        }

        override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean =
            headRequest || super.isContentAlwaysEmpty(msg)
    }

    private companion object {
        val STATUS = Regex("[1-5][0-9]{2}")
        val INFORMATIONAL = 100..199
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
        const val MS_PER_SECOND = 1_000L

        /** An error may quote what the endpoint sent. */
        const val MAX_ERROR_CHARS = 200

        /** Applies when the endpoint sends no Keep-Alive timeout. */
        const val DEFAULT_KEEP_ALIVE_TIMEOUT_MS = 4_000L
        const val HIGH_WATER_BYTES = 65_536
        const val LOW_WATER_BYTES = 16_384

        /** Memory of a queued event beside its content. */
        const val EVENT_OVERHEAD_BYTES = 64
        const val MAX_HEADER_BYTES = 32_768
        const val MAX_CHUNK_BYTES = 65_536
        const val MAX_BYTES_BEFORE_HEAD = 131_072
    }
}
