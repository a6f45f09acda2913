package io.oriolehall.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.oriolehall.dispatch.config.CallerLimits
import io.oriolehall.dispatch.config.Route
import io.oriolehall.dispatch.config.RouteKind
import io.oriolehall.dispatch.config.RouteTarget
import io.oriolehall.dispatch.config.Service
import io.oriolehall.dispatch.config.ServingConfig
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.store.StorePosition
import io.oriolehall.gateway.feed.EndpointListing
import io.oriolehall.gateway.feed.FeedChanges
import io.oriolehall.gateway.feed.FeedFailure
import io.oriolehall.gateway.feed.OperatorState
import io.oriolehall.gateway.feed.PlatformFeed
import io.oriolehall.gateway.feed.PublishedChange
import io.oriolehall.gateway.http.CallerListener
import io.oriolehall.gateway.http.CallerRequest
import io.oriolehall.gateway.http.Responder
import io.oriolehall.gateway.upstream.Connector
import io.oriolehall.gateway.upstream.UpstreamConnection
import io.oriolehall.gateway.upstream.UpstreamEvent
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.model.EndpointId
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Runs a gateway and an endpoint on the loopback interface, and sends a few requests of each kind. Checks that the
 * program works on a machine; the build also runs it to obtain the list of classes that are loaded during a start.
 */
class SelfCheck(private val wire: WireProtocol, private val log: EventLog) {
    private val loop = TrafficLoop(log)

    /** Returns true if all requests succeeded. */
    suspend fun run(): Boolean {
        val endpoint = CallerListener(loop, ::respond).start(ANY_PORT)
        val gateway = Gateway(settings(), wire, log) { FixedFeed(config(), record(endpoint)) }
        val gatewayAddress = gateway.start()
        val served = withTimeoutOrNull(TIMEOUT_MS) {
            while (!send(gatewayAddress, "/plain/x")) delay(RETRY_MS)
            (1..REQUESTS_PER_KIND).all { send(gatewayAddress, "/plain/x") && send(gatewayAddress, "/events/x") }
        }
        gateway.close()
        loop.close()
        return served == true
    }

    private fun settings() = GatewaySettings(
        instance = Instance(InstanceId("self-check"), ZONE, ANY_PORT),
        callerAddress = ANY_PORT,
        readinessAddress = ANY_PORT,
        seeds = emptyList(),
        bounds = DeploymentBounds(
            stopTimeoutMs = TIMEOUT_MS,
            keyRevocationMs = TIMEOUT_MS,
            retryRatio = 0.0,
            retryAllowance = 0.0,
            retryWindowMs = TIMEOUT_MS,
            coldFactor = 1.0,
            coldSlack = 0.0,
        ),
    )

    private fun config() = ServingConfig(
        version = 1,
        routes = listOf(route("/plain/", RouteKind.IDEMPOTENT), route("/events/", RouteKind.STREAMING)),
        services = listOf(Service(SERVICE, healthPath = "/", maxConnections = 0, coldPerSecond = 0.0)),
        limits = CallerLimits(),
        organisations = emptyList(),
    )

    private fun record(endpoint: NetworkAddress) =
        EndpointRecord(EndpointId("endpoint"), 1, SERVICE, endpoint, ZONE, 1, draining = false, coldRemainingMs = 0)

    private fun route(prefix: String, kind: RouteKind) = Route(
        name = prefix,
        host = HOST,
        prefix = prefix,
        kind = kind,
        timeoutMs = TIMEOUT_MS,
        objectiveMs = TIMEOUT_MS,
        priority = 0,
        targets = listOf(RouteTarget(SERVICE, 1)),
        maxAttempts = 1,
    )

    private suspend fun respond(request: CallerRequest, responder: Responder) {
        val headers = DefaultHttpHeaders()
            .set(wire.headers.attemptId, request.headers.get(wire.headers.attemptId))
            .set(wire.headers.signature, "self-check")
        if (request.uri.startsWith("/plain/")) {
            responder.respond(OK, headers, "answer".encodeToByteArray())
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
        val headers = DefaultHttpHeaders().set("Host", HOST).set(wire.headers.attemptId, "1").set("Content-Length", 1)
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

    /** Feed whose published state never changes. */
    private class FixedFeed(private val config: ServingConfig, private val record: EndpointRecord) : PlatformFeed {
        private val asOf = StorePosition(era = 0, revision = 1)

        override suspend fun operatorState(): Result<OperatorState, FeedFailure> =
            Ok(OperatorState(asOf, PublishedChange.ConfigPublished(asOf.revision, config), emptyList()))

        override suspend fun endpoints(betweenPages: suspend () -> Unit): Result<EndpointListing, FeedFailure> =
            Ok(EndpointListing(asOf, listOf(record)))

        override suspend fun changes(after: StorePosition, waitMs: Long): Result<FeedChanges, FeedFailure> {
            delay(waitMs)
            return Err(FeedFailure.Unavailable("nothing changes"))
        }
    }

    private companion object {
        const val OK = 200
        const val HOST = "self-check"
        const val SERVICE = "service"
        const val REQUESTS_PER_KIND = 20
        const val TIMEOUT_MS = 20_000L
        const val RETRY_MS = 20L
        val ZONE = ZoneId("zone")
        val ANY_PORT = NetworkAddress("127.0.0.1", 0)
    }
}
