package io.oriolehall.entry.http

import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.header
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.Refusal
import io.oriolehall.model.RefusalKind
import io.oriolehall.model.RunOutcome
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CancellationException
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger

/**
 * An HTTP listener. A handler that fails is logged and answered with a problem; it never ends the listener.
 *
 * @param closing true when clients should not keep their connections for another request.
 */
internal class HttpListener(
    private val address: NetworkAddress,
    private val log: EventLog,
    private val closing: () -> Boolean = { false },
    private val routes: Route.() -> Unit,
) {
    private val active = AtomicInteger()

    /** Calls that have not been answered to their end. */
    val activeCalls: Int get() = active.get()

    private var server: EmbeddedServer<CIOApplicationEngine, *>? = null

    /** Starts to listen and returns the address in use. */
    suspend fun start(): NetworkAddress {
        val started = embeddedServer(CIO, host = address.host, port = address.port) {
            intercept(ApplicationCallPipeline.Monitoring) { guarded(context) { proceed() } }
            routing(routes)
        }
        started.startSuspend(wait = false)
        server = started
        return NetworkAddress(address.host, started.engine.resolvedConnectors().first().port)
    }

    suspend fun stop() {
        server?.stopSuspend(gracePeriodMillis = 0, timeoutMillis = STOP_TIMEOUT_MS)
    }

    private suspend fun guarded(call: ApplicationCall, handle: suspend () -> Unit) {
        active.incrementAndGet()
        if (closing()) call.response.header(HttpHeaders.Connection, "close")
        try {
            handle()
        } catch (e: CancellationException) {
            throw e
        } catch (e: IOException) {
            log.write(Event.CALLER_CONNECTION_LOST, "error" to e.toString())
        } catch (e: Exception) {
            log.write(Event.HTTP_HANDLER_FAILED, "error" to e.stackTraceToString())
            if (!call.response.isCommitted) {
                call.respondRefusal(Refusal(RefusalKind.BAD_REQUEST, "the request failed here", RunOutcome.UNKNOWN))
            }
        } finally {
            active.decrementAndGet()
        }
    }

    private companion object {
        const val STOP_TIMEOUT_MS = 500L
    }
}
