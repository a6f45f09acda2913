package io.oriolehall.gateway

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.oriolehall.gateway.feed.PlatformFeed
import io.oriolehall.gateway.http.CallerListener
import io.oriolehall.gateway.http.CallerRequest
import io.oriolehall.gateway.http.RequestHandler
import io.oriolehall.gateway.http.Responder
import io.oriolehall.gateway.upstream.Connector
import io.oriolehall.gateway.upstream.UpstreamConnection
import io.oriolehall.gateway.upstream.UpstreamEvent
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.model.NetworkAddress
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull

/** The parts of a self-check that depend on the platform's protocol. */
interface SelfCheckPlatform {
    /** Answers the calls to the store, whose routes lead to [endpoint]. */
    fun store(endpoint: NetworkAddress): RequestHandler

    /** Answers a call to a stage worker; returns null if [request] is not one. */
    fun stageAnswer(request: CallerRequest): String?

    /** Settings of an instance, read as at a start. */
    fun settings(name: String, seeds: List<NetworkAddress>): GatewaySettings

    fun feed(store: NetworkAddress, loop: TrafficLoop): PlatformFeed
}

/**
 * Runs two instances, a store and an endpoint on the loopback interface, and sends a few requests of each kind through
 * both instances. One instance reads the store, the other follows it. Checks that the program works on a machine; the
 * build also runs it to obtain the classes that a start and the first requests need.
 */
class SelfCheck(private val wire: WireProtocol, private val platform: SelfCheckPlatform, private val log: EventLog) {
    private val loop = TrafficLoop(log)

    /** Returns true if all requests succeeded. */
    suspend fun run(): Boolean = try {
        check()
    } finally {
        loop.close()
    }

    private suspend fun check(): Boolean {
        val endpoint = CallerListener(loop, ::respond).start(ANY_PORT)
        val store = CallerListener(loop, platform.store(endpoint)).start(ANY_PORT)
        val firstSettings = platform.settings("self-check-1", emptyList())
        val first = instance(firstSettings, store)
        val second = instance(platform.settings("self-check-2", listOf(firstSettings.instance.peerAddress)), store)
        try {
            val served = withTimeoutOrNull(TIMEOUT_MS) { serve(first, second) }
            second.stop()
            return served == true
        } finally {
            second.close()
            first.close()
        }
    }

    private suspend fun serve(first: Gateway, second: Gateway): Boolean {
        val addresses = listOf(first, second).map { it.start() }
        addresses.forEach { address -> PATHS.forEach { path -> while (!send(address, path)) delay(RETRY_MS) } }
        val metrics = checkNotNull(first.metricsAddress)
        return (1..REQUESTS_PER_KIND).all {
            addresses.all { address -> PATHS.all { send(address, it) } } && send(metrics, "/metrics")
        }
    }

    private fun instance(settings: GatewaySettings, store: NetworkAddress) =
        Gateway(settings.copy(metricsAddress = ANY_PORT), wire, log) { loop -> platform.feed(store, loop) }

    private suspend fun respond(request: CallerRequest, responder: Responder) {
        val headers = DefaultHttpHeaders()
            .set(wire.headers.attemptId, request.headers.get(wire.headers.attemptId))
            .set(wire.headers.signature, "self-check")
        val stageAnswer = platform.stageAnswer(request)
        if (stageAnswer != null || !request.uri.startsWith(STREAM)) {
            responder.respond(OK, headers, (stageAnswer ?: "answer").encodeToByteArray())
            return
        }
        responder.startStreaming(OK, headers.set("Content-Type", "text/event-stream"))
        repeat(2) { responder.writeChunk("id: $it\ndata: event\n\n".encodeToByteArray()) }
        responder.completeStreaming()
    }

    private suspend fun send(address: NetworkAddress, path: String): Boolean = withContext(loop.dispatcher) {
        val connected = Connector(loop).connect(address)
        if (connected.isErr) return@withContext false
        val connection = connected.value
        val headers = DefaultHttpHeaders()
            .set("Host", HOST)
            .set(wire.headers.attemptId, "1")
            .set("Content-Length", 1)
        if (path.startsWith(STAGED)) headers.set(wire.headers.pieceCounts, "1").set(wire.headers.pieceKey, "key")
        connection.send("POST", path, headers, ByteArray(1))
        statusOf(connection).also { connection.close() } == OK
    }

    private suspend fun statusOf(connection: UpstreamConnection): Int {
        var status = 0
        while (true) {
            when (val event = connection.receive()) {
                is UpstreamEvent.Head -> status = event.status
                is UpstreamEvent.Data -> Unit
                is UpstreamEvent.Broken -> return 0
                UpstreamEvent.End -> return status
            }
        }
    }

    companion object {
        /** Host and path prefixes of the routes that the store publishes. */
        const val HOST = "self-check"
        const val PLAIN = "/plain/"
        const val STREAM = "/events/"
        const val STAGED = "/staged/"
        private val PATHS = listOf(PLAIN, STREAM, STAGED)
        private val ANY_PORT = NetworkAddress("127.0.0.1", 0)
        private const val OK = 200
        private const val REQUESTS_PER_KIND = 20
        private const val TIMEOUT_MS = 20_000L
        private const val RETRY_MS = 20L
    }
}
