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
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

/**
 * One caller's connection. Requests are read whole, served one at a time in their order, and cancelled when the caller
 * leaves. Used on the traffic thread only.
 *
 * @param limits bounds in force when a request begins.
 * @param leaving true while the instance stops: the connection ends after the answer in progress.
 */
internal class CallerConnection(
    private val scope: CoroutineScope,
    private val handler: RequestHandler,
    private val registry: CallerRegistry,
    private val limits: () -> CallerLimits,
    private val leaving: () -> Boolean,
) : ChannelInboundHandlerAdapter() {
    private lateinit var ctx: ChannelHandlerContext
    private var head: HttpRequest? = null
    private var headAtMs = 0L
    private var body = ByteArrayOutputStream(0)
    private val pending = ArrayDeque<CallerRequest>()
    private var serving: Job? = null
    private var current: Answer? = null
    private var closing = false
    private var idleTimer: java.util.concurrent.Future<*>? = null

    /** True while a request is being read or served. */
    val busy: Boolean get() = serving != null || head != null || pending.isNotEmpty()

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        registry.add(this)
        startTimer(limits().idleTimeoutMs) { closeQuietly() }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        registry.remove(this)
        idleTimer?.cancel(false)
        writable?.complete(Unit)
        serving?.cancel()
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        try {
            if (closing) return
            if (msg is HttpObject && msg.decoderResult().isFailure) {
                reject(statusOf(msg.decoderResult().cause()))
                return
            }
            if (msg is HttpRequest) begin(msg)
            if (msg is HttpContent && head != null) take(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    private fun statusOf(cause: Throwable?): HttpResponseStatus = when (cause) {
        is TooLongHttpHeaderException, is TooLongHttpLineException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        else -> HttpResponseStatus.BAD_REQUEST
    }

    private fun begin(request: HttpRequest) {
        val ambiguous = HttpUtil.isTransferEncodingChunked(request) &&
            request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        if (ambiguous || request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).distinct().size > 1) {
            reject(HttpResponseStatus.BAD_REQUEST)
            return
        }
        head = request
        headAtMs = TrafficLoop.nowMs()
        body = ByteArrayOutputStream(HttpUtil.getContentLength(request, 0L).coerceIn(0, INITIAL_BODY_BYTES).toInt())
        startTimer(limits().headerTimeoutMs + BODY_TIME_MS) { reject(HttpResponseStatus.REQUEST_TIMEOUT) }
        if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun take(content: HttpContent) {
        val bytes = content.content()
        if (body.size() + bytes.readableBytes() > limits().maxBodyBytes) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        }
        bytes.readBytes(body, bytes.readableBytes())
        if (content is LastHttpContent) finish()
    }

    private fun finish() {
        val request = head ?: return
        head = null
        idleTimer?.cancel(false)
        pending +=
            CallerRequest(request.method().name(), request.uri(), request.headers(), body.toByteArray(), headAtMs)
        keepAliveOf = HttpUtil.isKeepAlive(request)
        if (pending.size >= MAX_PIPELINED) ctx.channel().config().isAutoRead = false
        serveNext()
    }

    private var keepAliveOf = true

    private fun serveNext() {
        if (serving != null || closing) return
        val request = pending.removeFirstOrNull()
        if (request == null) {
            ctx.channel().config().isAutoRead = true
            if (leaving()) closeQuietly() else startTimer(limits().idleTimeoutMs) { closeQuietly() }
            return
        }
        val answer = Answer(request.method == "HEAD", keepAliveOf)
        current = answer
        val job = scope.launch(start = CoroutineStart.LAZY) { handler.serve(request, answer) }
        serving = job
        job.invokeOnCompletion { onLoop { served(answer) } }
        job.start()
    }

    private fun onLoop(action: () -> Unit) {
        if (ctx.channel().eventLoop().inEventLoop()) action() else ctx.channel().eventLoop().execute(action)
    }

    /** A handler that ended without an answer leaves the caller without one: the connection is closed. */
    private fun served(answer: Answer) {
        serving = null
        current = null
        if (!answer.ended && ctx.channel().isActive) answer.abort()
        if (answer.closesConnection) closing = true
        if (!closing) serveNext()
    }

    /** Answers before the request is whole; the rest of it cannot be told from a next request. */
    private fun reject(status: HttpResponseStatus) {
        if (closing) return
        closing = true
        head = null
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close")
        ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    private fun closeQuietly() {
        closing = true
        ctx.close()
    }

    /** Ends the connection now if it is idle; else it ends after the answer in progress. */
    fun closeWhenIdle() {
        if (!busy) closeQuietly()
    }

    private fun startTimer(delayMs: Long, action: () -> Unit) {
        idleTimer?.cancel(false)
        idleTimer = ctx.executor().schedule(action, delayMs, TimeUnit.MILLISECONDS)
    }

    private var writable: CompletableDeferred<Unit>? = null

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (ctx.channel().isWritable) writable?.complete(Unit)
        ctx.fireChannelWritabilityChanged()
    }

    private inner class Answer(private val headRequest: Boolean, private val keepAlive: Boolean) : Responder {
        override var started = false
            private set
        var ended = false
            private set
        var closesConnection = false
            private set

        override fun full(status: Int, headers: HttpHeaders, body: ByteArray) {
            check(!started) { "an answer has begun" }
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
            noteConnection(headers)
            val written = ctx.writeAndFlush(response)
            if (closesConnection) written.addListener(ChannelFutureListener.CLOSE)
        }

        override fun begin(status: Int, headers: HttpHeaders) {
            check(!started) { "an answer has begun" }
            started = true
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
            noteConnection(headers)
            ctx.writeAndFlush(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers))
        }

        override suspend fun data(bytes: ByteArray) {
            ctx.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
            while (!ctx.channel().isWritable && ctx.channel().isActive) {
                val waiting = CompletableDeferred<Unit>()
                writable = waiting
                waiting.await()
            }
        }

        override fun end() {
            ended = true
            val written = ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
            if (closesConnection) written.addListener(ChannelFutureListener.CLOSE)
        }

        override fun abort() {
            ended = true
            closesConnection = true
            ctx.close()
        }

        private fun noteConnection(headers: HttpHeaders) {
            closesConnection = !keepAlive || leaving()
            if (closesConnection) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
    }

    private companion object {
        const val MAX_PIPELINED = 4
        const val INITIAL_BODY_BYTES = 65_536L

        /** Time for a body to arrive after its head, beyond the time that a head may take, milliseconds. */
        const val BODY_TIME_MS = 10_000L
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
    }
}
