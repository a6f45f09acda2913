package io.oriolehall.entry.stages

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.Dispatchers
import kotlin.coroutines.CoroutineContext

private const val CONNECT_TIMEOUT_MS = 500L
private const val MAX_CONNECTIONS = 2_000

/** The HTTP client of an instance for calls to endpoints and to the platform. */
internal fun endpointHttp(): HttpClient = HttpClient(CIO) {
    expectSuccess = false
    engine {
        dispatcher = ResumingThread
        requestTimeout = 0
        maxConnectionsCount = MAX_CONNECTIONS
        endpoint {
            connectTimeout = CONNECT_TIMEOUT_MS
            maxConnectionsPerRoute = MAX_CONNECTIONS
        }
    }
}

/**
 * Runs the engine's coroutines, which are short and never block, on the thread that resumes them, so that no other is
 * woken for each piece of a body. The engine's selector does block and has a thread.
 */
private object ResumingThread : CoroutineDispatcher() {
    private const val SELECTOR = "selector"

    override fun isDispatchNeeded(context: CoroutineContext): Boolean = context[CoroutineName]?.name == SELECTOR

    override fun dispatch(context: CoroutineContext, block: Runnable) = Dispatchers.IO.dispatch(context, block)
}
