package io.oriolehall.gateway.http

/** Open connections of callers. Used on the traffic thread only. */
class CallerRegistry {
    private val connections = LinkedHashSet<CallerConnection>()

    val open: Int get() = connections.size

    val busy: Int get() = connections.count(CallerConnection::isBusy)

    internal fun add(connection: CallerConnection) {
        connections += connection
    }

    internal fun remove(connection: CallerConnection) {
        connections -= connection
    }

    /** Closes idle connections; busy ones are closed after their current response. */
    fun closeIdle() = connections.toList().forEach(CallerConnection::closeWhenIdle)
}
