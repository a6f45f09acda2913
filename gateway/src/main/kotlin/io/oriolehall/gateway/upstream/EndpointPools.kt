package io.oriolehall.gateway.upstream

import io.oriolehall.dispatch.endpoints.EndpointIncarnation
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.endpoints.EndpointSnapshot

/** Connection pools of all endpoints in use, one per incarnation. Used on the traffic thread only. */
class EndpointPools(private val connector: Connector, val access: EndpointAccess) {
    private val pools = HashMap<EndpointIncarnation, EndpointPool>()

    fun poolOf(endpoint: EndpointRecord): EndpointPool =
        pools.getOrPut(endpoint.incarnation) { EndpointPool(endpoint, connector, access) }

    /** The pool of [endpoint], or a new one that is not kept if there is none: a query must not add state. */
    internal fun viewOf(endpoint: EndpointRecord): EndpointPool =
        pools[endpoint.incarnation] ?: EndpointPool(endpoint, connector, access)

    /**
     * Removes pools of unregistered or restarted endpoints without requests in flight, closes stale connections, and
     * forgets pauses that have ended and loads of endpoints that are gone.
     */
    fun removeObsolete(snapshot: EndpointSnapshot) {
        val obsolete = pools.values.filter { pool ->
            snapshot.endpoints[pool.endpoint.id]?.startedAtMs != pool.endpoint.startedAtMs && pool.outstanding == 0
        }
        obsolete.forEach {
            it.closeAll()
            pools.remove(it.endpoint.incarnation)
        }
        pools.values.forEach(EndpointPool::closeStale)
        access.removeObsolete(snapshot)
    }
}
