package io.oriolehall.gateway.http

/** Open connections of callers. Used on the traffic thread only. */
class CallerRegistry {
    private val connections = LinkedHashSet<CallerConnection>()

    val openCount: Int get() = connections.size

    val busyCount: Int get() = connections.count(CallerConnection::isBusy)

    internal fun add(connection: CallerConnection) {
        connections += connection
    }

    internal fun remove(connection: CallerConnection) {
        connections -= connection
    }

    /** Closes idle connections; busy ones are closed after their current response. */
    fun closeIdleConnections() = connections.toList().forEach(CallerConnection::closeWhenIdle)
}
