package io.oriolehall.runtime

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/**
 * The one thread that owns control state: configuration, membership, ownership and limits. Traffic runs on other
 * threads and reads immutable snapshots which this thread publishes.
 */
class ControlThread : AutoCloseable {
    private val executor: ExecutorService = Executors.newSingleThreadExecutor { task ->
        Thread(task, "control").apply { isDaemon = true }
    }

    /** Dispatcher whose coroutines run on the control thread. */
    val dispatcher: CoroutineDispatcher = executor.asCoroutineDispatcher()

    override fun close() {
        executor.shutdownNow()
    }
}
