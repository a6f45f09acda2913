package io.oriolehall.gateway.upstream

import io.oriolehall.dispatch.endpoints.EndpointLife
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.endpoints.EndpointSnapshot

/** The pools of all endpoints in use. Used on the traffic thread only. */
class EndpointPools(private val connector: Connector) {
    private val pools = HashMap<EndpointLife, EndpointPool>()

    fun of(endpoint: EndpointRecord): EndpointPool =
        pools.getOrPut(endpoint.life) { EndpointPool(endpoint, connector) }

    /** Drops pools of endpoints that are gone, and connections that have been idle for too long. */
    fun sweep(snapshot: EndpointSnapshot) {
        val gone = pools.values.filter { pool ->
            snapshot.endpoints[pool.endpoint.id]?.bornAtMs != pool.endpoint.bornAtMs && pool.outstanding == 0
        }
        gone.forEach {
            it.closeAll()
            pools.remove(it.endpoint.life)
        }
        pools.values.forEach(EndpointPool::closeStale)
    }
}
