package io.oriolehall.gateway

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import java.nio.channels.spi.SelectorProvider
import java.util.concurrent.TimeUnit

/**
 * The single event-loop thread for traffic: it handles all sockets of callers and endpoints, and runs the coroutines
 * that serve requests. Request state is therefore accessed without locks.
 */
class TrafficLoop(log: EventLog) : AutoCloseable {
    /** When the sockets of this loop were last polled. */
    val polls = SocketPolls(::nowMs)

    val group = MultiThreadIoEventLoopGroup(
        1,
        NioIoHandler.newFactory(SelectorProvider.provider(), polls.selectStrategyFactory),
    )

    val eventLoop: EventLoop = group.next()

    val dispatcher: CoroutineDispatcher = eventLoop.asCoroutineDispatcher()

    private val exceptionHandler = CoroutineExceptionHandler { _, error ->
        log.write(Event.HTTP_HANDLER_FAILED, "error" to error.stackTraceToString())
    }

    val scope = CoroutineScope(dispatcher + SupervisorJob() + exceptionHandler)

    override fun close() {
        scope.cancel()
        group.shutdownGracefully(0, SHUTDOWN_MS, TimeUnit.MILLISECONDS)
    }

    companion object {
        private const val SHUTDOWN_MS = 100L

        /** Monotonic time in milliseconds. */
        fun nowMs(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
    }
}
