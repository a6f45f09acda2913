package io.oriolehall.gateway.upstream

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onSuccess
import io.oriolehall.dispatch.endpoints.EndpointHealth
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.limits.ColdLimit
import io.oriolehall.gateway.TrafficLoop

/**
 * Connections to one life of an endpoint and what this instance knows of it from its own traffic. Used on the traffic
 * thread only.
 */
class EndpointPool(val endpoint: EndpointRecord, private val connector: Connector) {
    private val idle = ArrayDeque<UpstreamConnection>()

    val health = EndpointHealth()
    val coldLimit = ColdLimit()

    /** Requests that have been sent and not ended. */
    var outstanding = 0

    /** Connections in use, kept or being made. */
    var connections = 0
        private set

    /** True when a request may be sent without having more than [most] connections. */
    fun hasConnection(most: Int): Boolean = idle.isNotEmpty() || connections < most

    /** An idle connection, or a new one. */
    suspend fun acquire(): Result<UpstreamConnection, ConnectFailure> {
        takeIdle()?.let { return Ok(it) }
        connections++
        var made = false
        try {
            return connector.connect(endpoint.address).onSuccess { made = true }
        } finally {
            if (!made) connections--
        }
    }

    /** Gives [connection] back; it is closed when it cannot be used again. */
    fun release(connection: UpstreamConnection) {
        if (!connection.isOpen || idle.size >= MAX_IDLE) {
            discard(connection)
            return
        }
        connection.idleSinceMs = TrafficLoop.nowMs()
        idle.addLast(connection)
    }

    fun discard(connection: UpstreamConnection) {
        connections--
        connection.close()
    }

    /** Closes connections that the endpoint is about to close. */
    fun closeStale() {
        val stale = idle.filterNot(::isFresh)
        idle.removeAll(stale)
        stale.forEach(::discard)
    }

    fun closeAll() {
        idle.toList().forEach(::discard)
        idle.clear()
    }

    private fun takeIdle(): UpstreamConnection? {
        while (true) {
            val connection = idle.removeLastOrNull() ?: return null
            if (isFresh(connection)) return connection
            discard(connection)
        }
    }

    private fun isFresh(connection: UpstreamConnection): Boolean =
        connection.isOpen && TrafficLoop.nowMs() - connection.idleSinceMs < connection.idleLimitMs - IDLE_MARGIN_MS

    private companion object {
        const val MAX_IDLE = 32

        /** Connections are not used in the last second before the endpoint closes them. */
        const val IDLE_MARGIN_MS = 1_000L
    }
}
