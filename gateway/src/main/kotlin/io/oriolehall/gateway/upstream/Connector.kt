package io.oriolehall.gateway.upstream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.model.NetworkAddress
import jdk.net.ExtendedSocketOptions
import kotlinx.coroutines.suspendCancellableCoroutine
import java.net.ConnectException

/**
 * The connection could not be established; no byte of a request was sent.
 *
 * @property refused true when the machine answered that no process listens at [address].
 */
data class ConnectFailure(val address: NetworkAddress, val reason: String, val refused: Boolean) {
    val message: String get() = "no connection to $address ($reason); is it up and the network whole?"
}

/**
 * Opens connections to endpoints or to the platform.
 *
 * @param memory memory for the answers on all these connections.
 */
class Connector(private val loop: TrafficLoop, private val memory: AnswerMemory = AnswerMemory()) {
    suspend fun connect(
        address: NetworkAddress,
        timeoutMs: Int = CONNECT_TIMEOUT_MS,
    ): Result<UpstreamConnection, ConnectFailure> {
        val connection = UpstreamConnection(memory)
        val future = bootstrap(timeoutMs)
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) = connection.install(channel)
            })
            .connect(address.host, address.port)
        val cause = future.awaitFailure()
        if (cause == null) return Ok(connection)
        val refused = cause is ConnectException && cause !is ConnectTimeoutException
        return Err(ConnectFailure(address, cause.toString(), refused))
    }

    /** TCP keepalive probes detect idle connections whose peer lost power or is unreachable. */
    private fun bootstrap(timeoutMs: Int): Bootstrap = Bootstrap()
        .group(loop.group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_IDLE_S)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_INTERVAL_S)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBE_COUNT)

    private suspend fun ChannelFuture.awaitFailure(): Throwable? = suspendCancellableCoroutine { continuation ->
        addListener { completed -> continuation.resume(completed.cause()) { _, _, _ -> channel().close() } }
        continuation.invokeOnCancellation {
            cancel(true)
            channel().close()
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 600
        const val KEEPALIVE_IDLE_S = 1
        const val KEEPALIVE_INTERVAL_S = 1
        const val KEEPALIVE_PROBE_COUNT = 2
    }
}
