package io.oriolehall.gateway

import io.netty.channel.DefaultSelectStrategyFactory
import io.netty.channel.SelectStrategy
import io.netty.channel.SelectStrategyFactory

/**
 * Records when the event loop last asked its sockets for events. On a busy machine a turn of the loop may take long:
 * what callers have sent or closed meanwhile is not known until the next poll. Used on the traffic thread only.
 */
class SocketPolls internal constructor(private val nowMs: () -> Long) {
    private var pollStartedAtMs = nowMs()
    private var eventsReceived = false

    /** Monotonic time at which the socket events that are being handled were received, milliseconds. */
    var eventsReceivedAtMs = pollStartedAtMs
        private set

    /** Milliseconds since the sockets were last polled. */
    val ageMs: Long get() = nowMs() - maxOf(pollStartedAtMs, eventsReceivedAtMs)

    /** To be called by handlers at the start of a socket event; the first call after a poll determines its time. */
    internal fun onSocketEvent() {
        if (eventsReceived) return
        eventsReceived = true
        eventsReceivedAtMs = nowMs()
    }

    internal val selectStrategyFactory = SelectStrategyFactory {
        val strategy = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy()
        SelectStrategy { selectNow, hasTasks ->
            pollStartedAtMs = nowMs()
            eventsReceived = false
            strategy.calculateStrategy(selectNow, hasTasks)
        }
    }
}
