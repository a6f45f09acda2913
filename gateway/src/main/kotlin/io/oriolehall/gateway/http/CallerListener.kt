package io.oriolehall.gateway.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import io.oriolehall.dispatch.config.CallerLimits
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.model.NetworkAddress
import java.net.InetSocketAddress

/** Accepts callers' connections at one address. */
class CallerListener(
    private val loop: TrafficLoop,
    private val handler: RequestHandler,
    private val limits: () -> CallerLimits = { CallerLimits() },
    private val shuttingDown: () -> Boolean = { false },
) {
    val registry = CallerRegistry()
    private var server: Channel? = null

    /** Listens at [address], on a free port if its port is 0, and returns the address in use. */
    fun start(address: NetworkAddress): NetworkAddress {
        val bound = ServerBootstrap()
            .group(loop.group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, readingUntilEmpty())
            .childHandler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) = install(channel)
            })
            .bind(address.host, address.port)
            .sync()
            .channel()
        server = bound
        return NetworkAddress(address.host, (bound.localAddress() as InetSocketAddress).port)
    }

    /** Reads until the socket is empty, so that a caller's close is noticed together with the request before it. */
    private fun readingUntilEmpty() = AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_READS_PER_EVENT)

    private fun install(channel: Channel) {
        val config = HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
            .setMaxHeaderSize(limits().maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
        channel.pipeline().addLast(
            HttpRequestDecoder(config),
            HttpResponseEncoder(),
            CallerConnection(loop, handler, registry, limits, shuttingDown),
        )
    }

    /**
     * Stops accepting connections and waits until the listening socket is closed. Connections accepted before remain in
     * [registry]. Must not be called on the traffic thread.
     */
    fun stopListening() {
        server?.close()?.syncUninterruptibly()
    }

    fun close() {
        server?.close()
    }

    private companion object {
        const val BACKLOG = 1_024
        const val MAX_REQUEST_LINE_BYTES = 16_384
        const val MAX_CHUNK_BYTES = 65_536

        /** Reads of one socket before other sockets get their turn. */
        const val MAX_READS_PER_EVENT = 16
    }
}
