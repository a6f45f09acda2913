package io.oriolehall.gateway.upstream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onSuccess
import io.oriolehall.dispatch.endpoints.EndpointCondition
import io.oriolehall.dispatch.endpoints.EndpointHealth
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.limits.ColdRateLimit
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.policy.hashing.Rendezvous

/**
 * Connections to one incarnation of an endpoint, with the health and load that this instance has observed in its own
 * traffic. Used on the traffic thread only.
 */
class EndpointPool(
    val endpoint: EndpointRecord,
    private val connector: Connector,
    private val access: EndpointAccess,
) {
    private val idle = ArrayDeque<UpstreamConnection>()

    /** Hash of the endpoint's id for rendezvous hashing. */
    val hash = Rendezvous.hash(endpoint.id.value)

    val health = EndpointHealth()
    val coldLimit = ColdRateLimit()

    /** Number of requests in flight. */
    var outstanding = 0

    /** Number of connections in use, idle or being established. */
    var connectionCount = 0
        private set

    private val createdAtMs = TrafficLoop.nowMs()

    /**
     * True unless the endpoint is known to be warm: the time that its registration names has passed, and if endpoints
     * of its service are cold after a start ([hasColdLimit]), it has responded to this instance.
     */
    fun mayBeCold(nowMs: Long, hasColdLimit: Boolean): Boolean =
        nowMs < createdAtMs + endpoint.coldRemainingMs || (hasColdLimit && !health.hasResponded)

    /** True when a request can be sent without exceeding [maxConnections] connections. */
    private fun hasCapacity(maxConnections: Int): Boolean =
        connectionCount < maxConnections || idle.any { it.requestWritten }

    /** What is known of the endpoint; [withinColdLimit] and [maxConnections] are those of the caller. */
    fun condition(
        nowMs: Long,
        zoneUnreachable: Boolean,
        withinColdLimit: Boolean,
        maxConnections: Int?,
    ): EndpointCondition = access.condition(endpoint).copy(
        outstanding = outstanding,
        excluded = health.isExcluded(nowMs),
        zoneUnreachable = zoneUnreachable,
        withinColdLimit = withinColdLimit,
        connectionFree = maxConnections == null || hasCapacity(maxConnections),
    )

    /**
     * Returns an idle connection, or opens a new one, unless no request may be sent to the endpoint. All connections
     * for requests come from here. Connecting takes time, so the permission is checked again after it.
     */
    suspend fun acquire(): Result<UpstreamConnection, AcquireFailure> {
        denial()?.let { return Err(it) }
        takeIdle()?.let { return Ok(it) }
        val connected = connect()
        if (connected.isErr) return Err(AcquireFailure.NotConnected(connected.error))
        val denied = denial() ?: return Ok(connected.value)
        release(connected.value)
        return Err(denied)
    }

    private fun denial(): AcquireFailure.Denied? = access.denial(endpoint)?.let { AcquireFailure.Denied(it) }

    /**
     * Opens a connection to find out whether the process of the endpoint still runs, and keeps it for later requests.
     * Returns false only when the machine refuses it; without an answer in [timeoutMs] the endpoint counts as running.
     */
    suspend fun isRunning(timeoutMs: Int): Boolean {
        val connected = connect(timeoutMs)
        if (connected.isErr) return !connected.error.refused
        release(connected.value)
        return true
    }

    private suspend fun connect(timeoutMs: Int? = null): Result<UpstreamConnection, ConnectFailure> {
        connectionCount++
        var connected = false
        try {
            val result = timeoutMs?.let { connector.connect(endpoint.address, it) }
                ?: connector.connect(endpoint.address)
            return result.onSuccess {
                connected = true
                it.onHead = { head -> access.onAnswer(endpoint, head) }
                it.onMalformed = { error -> access.onMalformed(endpoint, error) }
            }
        } finally {
            if (!connected) connectionCount--
        }
    }

    /** Returns [connection] to the pool, or closes it when it cannot be reused or enough connections are idle. */
    fun release(connection: UpstreamConnection) {
        if (!connection.isOpen || idle.size >= MAX_IDLE) {
            discard(connection)
            return
        }
        connection.idleSinceMs = TrafficLoop.nowMs()
        idle.addLast(connection)
    }

    fun discard(connection: UpstreamConnection) {
        connectionCount--
        connection.close()
    }

    /** Closes idle connections that are closed or about to reach the idle timeout of the endpoint. */
    fun closeStale() {
        val stale = idle.filterNot(::isReusable)
        idle.removeAll(stale)
        stale.forEach(::discard)
    }

    fun closeAll() {
        idle.toList().forEach(::discard)
        idle.clear()
    }

    /**
     * Leaves connections on which a request is still being written: an endpoint may respond early and read on later, or
     * never, and the next request would wait behind the earlier one. [closeStale] ends those that remain so.
     */
    private fun takeIdle(): UpstreamConnection? {
        while (true) {
            val connection = idle.lastOrNull { it.requestWritten } ?: return null
            idle.remove(connection)
            if (isReusable(connection)) return connection
            discard(connection)
        }
    }

    private fun isReusable(connection: UpstreamConnection): Boolean =
        connection.isOpen &&
            TrafficLoop.nowMs() - connection.idleSinceMs < connection.keepAliveTimeoutMs - IDLE_MARGIN_MS

    private companion object {
        const val MAX_IDLE = 32

        /** Connections are not reused in the last second before the endpoint closes them. */
        const val IDLE_MARGIN_MS = 1_000L
    }
}
