package io.oriolehall.gateway.http

/** The open connections of callers. Used on the traffic thread only. */
class CallerRegistry {
    private val connections = LinkedHashSet<CallerConnection>()

    val open: Int get() = connections.size

    val busy: Int get() = connections.count(CallerConnection::busy)

    internal fun add(connection: CallerConnection) {
        connections += connection
    }

    internal fun remove(connection: CallerConnection) {
        connections -= connection
    }

    /** Ends idle connections; the others end after the answers in progress. */
    fun closeIdle() = connections.toList().forEach(CallerConnection::closeWhenIdle)
}
