package io.oriolehall.runtime

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/**
 * The single thread that owns the control state: configuration, membership, ownership and limits. Requests run on other
 * threads and read immutable snapshots that this thread publishes.
 */
class ControlThread : AutoCloseable {
    private val executor: ExecutorService = Executors.newSingleThreadExecutor { task ->
        Thread(task, "control").apply { isDaemon = true }
    }

    /** Dispatcher that runs coroutines on the control thread. */
    val dispatcher: CoroutineDispatcher = executor.asCoroutineDispatcher()

    override fun close() {
        executor.shutdownNow()
    }
}
