package io.oriolehall.gateway.quarantine

import io.oriolehall.dispatch.endpoints.EndpointIncarnation
import io.oriolehall.gateway.upstream.EndpointPool
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async

/**
 * Finds out whether the process of an endpoint has ended after a request to it was lost, in contrast to a connection
 * that broke or a network that was cut. Requests that are lost together share one probe. Used on the traffic thread
 * only.
 */
internal class EndpointLossProbe(private val scope: CoroutineScope) {
    private val running = HashMap<EndpointIncarnation, Deferred<Boolean>>()

    /** True when the machine of the endpoint answers that the process no longer listens. */
    suspend fun hasEnded(pool: EndpointPool): Boolean {
        val incarnation = pool.endpoint.incarnation
        val probe = running.getOrPut(incarnation) {
            scope.async { !pool.isRunning(TIMEOUT_MS) }.also { it.invokeOnCompletion { running.remove(incarnation) } }
        }
        return probe.await()
    }

    private companion object {
        const val TIMEOUT_MS = 300
    }
}
