package io.oriolehall.gateway.stages

import io.oriolehall.dispatch.stages.StageWorker
import io.oriolehall.model.NetworkAddress
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Frees stage results at their workers, those of one moment together. Used on the traffic thread only.
 *
 * @param workers the registered workers of the service.
 * @param onFreed is called when a worker has confirmed that memory is free.
 */
internal class ResultReleases(
    private val scope: CoroutineScope,
    private val client: StageWorkerClient,
    private val workers: () -> List<StageWorker>,
    private val onFreed: () -> Unit,
) {
    private val pending = HashMap<NetworkAddress, MutableList<String>>()

    fun add(results: List<StageResult>) {
        if (results.isEmpty()) return
        val startsBatch = pending.isEmpty()
        results.forEach { pending.getOrPut(it.worker) { mutableListOf() } += it.handle }
        if (startsBatch) scope.launch { sendBatch() }
    }

    private suspend fun sendBatch() {
        delay(BATCH_DELAY_MS)
        val batch = pending.toMap()
        pending.clear()
        val byAddress = workers().associateBy { it.endpoint.address }
        for ((address, handles) in batch) {
            val worker = byAddress[address] ?: continue
            scope.launch { send(worker, handles) }
        }
    }

    /** Counts the memory as used until the worker has answered: a call that starts earlier may find it occupied. */
    private suspend fun send(worker: StageWorker, handles: List<String>) {
        if (!client.release(worker.endpoint, handles)) return
        handles.forEach(worker::onResultFreed)
        onFreed()
    }

    private companion object {
        const val BATCH_DELAY_MS = 10L
    }
}
