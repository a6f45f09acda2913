package io.oriolehall.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import io.oriolehall.dispatch.config.CallerLimits
import io.oriolehall.gateway.TrafficLoop
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

/**
 * One caller's connection. Each request is read completely before it is served; requests are served one at a time in
 * order of arrival, and cancelled when the caller disconnects. Used on the traffic thread only.
 *
 * @param limits limits of the current configuration.
 * @param shuttingDown true while the instance shuts down: the connection is closed after the current response.
 */
internal class CallerConnection(
    private val loop: TrafficLoop,
    private val handler: RequestHandler,
    private val registry: CallerRegistry,
    private val limits: () -> CallerLimits,
    private val shuttingDown: () -> Boolean,
) : ChannelInboundHandlerAdapter() {
    private lateinit var ctx: ChannelHandlerContext
    private var head: HttpRequest? = null
    private var headReceivedAtMs = 0L
    private var body = ByteArrayOutputStream(0)
    private val pending = ArrayDeque<CallerRequest>()
    private var activeJob: Job? = null
    private var closing = false
    private var acceptedAtMs = 0L
    private var requestReceived = false
    private var timeoutTask: java.util.concurrent.Future<*>? = null

    /** True while a request is being read or served. */
    val isBusy: Boolean get() = activeJob != null || head != null || pending.isNotEmpty()

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        loop.polls.onSocketEvent()
        acceptedAtMs = loop.polls.eventsReceivedAtMs
        registry.add(this)
        startTimer(limits().idleTimeoutMs) { closeNow() }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        registry.remove(this)
        timeoutTask?.cancel(false)
        writableSignal?.complete(Unit)
        activeJob?.cancel()
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        loop.polls.onSocketEvent()
        try {
            if (closing) return
            if (msg is HttpObject && msg.decoderResult().isFailure) {
                reject(statusOfDecoderFailure(msg.decoderResult().cause()))
                return
            }
            if (msg is HttpRequest) startRequest(msg)
            if (msg is HttpContent && head != null) appendBody(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    private fun statusOfDecoderFailure(cause: Throwable?): HttpResponseStatus = when (cause) {
        is TooLongHttpHeaderException, is TooLongHttpLineException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        else -> HttpResponseStatus.BAD_REQUEST
    }

    private fun startRequest(request: HttpRequest) {
        val conflictingFraming = HttpUtil.isTransferEncodingChunked(request) &&
            request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        if (conflictingFraming || request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).distinct().size > 1) {
            reject(HttpResponseStatus.BAD_REQUEST)
            return
        }
        head = request
        requestReceived = true
        headReceivedAtMs = loop.polls.eventsReceivedAtMs
        body = ByteArrayOutputStream(HttpUtil.getContentLength(request, 0L).coerceIn(0, INITIAL_BODY_BYTES).toInt())
        startTimer(limits().headerTimeoutMs + BODY_TIMEOUT_MS) { reject(HttpResponseStatus.REQUEST_TIMEOUT) }
        if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun appendBody(content: HttpContent) {
        val bytes = content.content()
        if (body.size() + bytes.readableBytes() > limits().maxBodyBytes) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        }
        bytes.readBytes(body, bytes.readableBytes())
        if (content is LastHttpContent) completeRequest()
    }

    private fun completeRequest() {
        val request = head ?: return
        head = null
        timeoutTask?.cancel(false)
        pending +=
            CallerRequest(
                request.method().name(),
                request.uri(),
                request.headers(),
                body.toByteArray(),
                headReceivedAtMs,
            )
        lastRequestKeepAlive = HttpUtil.isKeepAlive(request)
        if (pending.size >= MAX_PIPELINED) ctx.channel().config().isAutoRead = false
        serveNext()
    }

    private var lastRequestKeepAlive = true

    private fun serveNext() {
        if (activeJob != null || closing) return
        val request = pending.removeFirstOrNull()
        if (request == null) {
            ctx.channel().config().isAutoRead = true
            if (shuttingDown()) closeNow() else startTimer(limits().idleTimeoutMs) { closeNow() }
            return
        }
        val response = CallerResponse(request.method == "HEAD", lastRequestKeepAlive)
        val job = loop.scope.launch(start = CoroutineStart.LAZY) {
            // The caller may have closed the connection in the same turn of the loop in which the request was read.
            if (ctx.channel().isActive) handler.serve(request, response)
        }
        activeJob = job
        job.invokeOnCompletion { runOnEventLoop { onServed(response) } }
        job.start()
    }

    private fun runOnEventLoop(action: () -> Unit) {
        if (ctx.channel().eventLoop().inEventLoop()) action() else ctx.channel().eventLoop().execute(action)
    }

    /** Serves the next request, or closes the connection if the handler has not completed the response. */
    private fun onServed(response: CallerResponse) {
        activeJob = null
        if (!response.ended && ctx.channel().isActive) response.abort()
        if (response.closesConnection) closing = true
        if (!closing) serveNext()
    }

    /**
     * Rejects an incomplete request and closes the connection, because its remaining bytes cannot be distinguished
     * from the next request.
     */
    private fun reject(status: HttpResponseStatus) {
        if (closing) return
        closing = true
        head = null
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close")
        ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    private fun closeNow() {
        closing = true
        ctx.close()
    }

    /**
     * Closes the connection if it is idle; a busy one is closed after the current response. The first request of a new
     * connection may already be on its way, so it is given a moment to arrive.
     */
    fun closeWhenIdle() {
        val mayBeAboutToSend = !requestReceived && TrafficLoop.nowMs() - acceptedAtMs < FIRST_REQUEST_WAIT_MS
        if (!isBusy && !mayBeAboutToSend) closeNow()
    }

    private fun startTimer(delayMs: Long, action: () -> Unit) {
        timeoutTask?.cancel(false)
        timeoutTask = ctx.executor().schedule(action, delayMs, TimeUnit.MILLISECONDS)
    }

    private var writableSignal: CompletableDeferred<Unit>? = null

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (ctx.channel().isWritable) writableSignal?.complete(Unit)
        ctx.fireChannelWritabilityChanged()
    }

    private inner class CallerResponse(private val headRequest: Boolean, private val keepAlive: Boolean) : Responder {
        override var started = false
            private set
        var ended = false
            private set
        var closesConnection = false
            private set

        override fun respond(status: Int, headers: HttpHeaders, body: ByteArray) {
            check(!started) { "response already started" }
            started = true
            ended = true
            val content = if (headRequest) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(body)
            val response = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                content,
                headers,
                EmptyHttpHeaders.INSTANCE,
            )
            if (status != NO_CONTENT && status != NOT_MODIFIED) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, body.size)
            }
            setConnectionHeader(headers)
            val written = ctx.writeAndFlush(response)
            if (closesConnection) written.addListener(ChannelFutureListener.CLOSE)
        }

        override fun startStreaming(status: Int, headers: HttpHeaders) {
            check(!started) { "response already started" }
            started = true
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
            setConnectionHeader(headers)
            ctx.writeAndFlush(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers))
        }

        override suspend fun writeChunk(bytes: ByteArray) {
            ctx.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
            while (!ctx.channel().isWritable && ctx.channel().isActive) {
                val signal = CompletableDeferred<Unit>()
                writableSignal = signal
                signal.await()
            }
        }

        override fun completeStreaming() {
            ended = true
            val written = ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
            if (closesConnection) written.addListener(ChannelFutureListener.CLOSE)
        }

        override fun abort() {
            ended = true
            closesConnection = true
            ctx.close()
        }

        private fun setConnectionHeader(headers: HttpHeaders) {
            closesConnection = !keepAlive || (shuttingDown() && pending.isEmpty())
            if (closesConnection) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
    }

    private companion object {
        const val MAX_PIPELINED = 4

        /** A caller that opens a connection to send a request sends it within a few round trips, milliseconds. */
        const val FIRST_REQUEST_WAIT_MS = 500L
        const val INITIAL_BODY_BYTES = 65_536L

        /** Time allowed for the body in addition to the header timeout, milliseconds. */
        const val BODY_TIMEOUT_MS = 10_000L
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
    }
}
