package io.oriolehall.gateway.quarantine

import io.oriolehall.dispatch.endpoints.EndpointIncarnation
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.gateway.upstream.EndpointPool
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

/**
 * Finds out whether the process of an endpoint has ended after requests to it were lost, in contrast to a connection
 * that broke or a network that was cut. Requests that are lost together share one examination. Used on the traffic
 * thread only.
 *
 * @param scope scope on the traffic thread.
 * @param onEnded gets an endpoint that has ended and the requests that were lost with it.
 */
internal class LossExaminations<T>(
    private val scope: CoroutineScope,
    private val onEnded: (EndpointRecord, List<T>) -> Unit,
) {
    private class Examination<T>(val lost: MutableList<T>, val job: Job)

    private val running = HashMap<EndpointIncarnation, Examination<T>>()

    /** Examines the endpoint of [pool], which lost [request]. Returns the job of the examination. */
    fun examine(pool: EndpointPool, request: T): Job {
        val examination = running.getOrPut(pool.endpoint.incarnation) { begin(pool) }
        examination.lost += request
        return examination.job
    }

    private fun begin(pool: EndpointPool): Examination<T> {
        val lost = mutableListOf<T>()
        val job = scope.launch {
            val isRunning = try {
                pool.isRunning(TIMEOUT_MS)
            } finally {
                running.remove(pool.endpoint.incarnation)
            }
            if (!isRunning) onEnded(pool.endpoint, lost)
        }
        return Examination(lost, job)
    }

    private companion object {
        const val TIMEOUT_MS = 300
    }
}
