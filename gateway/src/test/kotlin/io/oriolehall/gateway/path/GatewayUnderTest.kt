package io.oriolehall.gateway.path

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import io.oriolehall.dispatch.config.CallerLimits
import io.oriolehall.dispatch.config.Organisation
import io.oriolehall.dispatch.config.Route
import io.oriolehall.dispatch.config.RouteKind
import io.oriolehall.dispatch.config.RouteTarget
import io.oriolehall.dispatch.config.Service
import io.oriolehall.dispatch.config.ServingConfig
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.retries.SecondAttemptLimits
import io.oriolehall.dispatch.stages.PieceWork
import io.oriolehall.dispatch.store.StorePosition
import io.oriolehall.gateway.DeploymentBounds
import io.oriolehall.gateway.Gateway
import io.oriolehall.gateway.GatewaySettings
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.feed.EndpointListing
import io.oriolehall.gateway.feed.FeedChanges
import io.oriolehall.gateway.feed.FeedFailure
import io.oriolehall.gateway.feed.OperatorState
import io.oriolehall.gateway.feed.PlatformFeed
import io.oriolehall.gateway.feed.PublishedChange
import io.oriolehall.gateway.feed.PublishedChange.EndpointRegistered
import io.oriolehall.gateway.wire.HeaderNames
import io.oriolehall.gateway.wire.PieceOutcome
import io.oriolehall.gateway.wire.StageCallCodec
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.model.EndpointId
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.ZoneId
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.net.Socket
import java.net.URI
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** A gateway on the loopback interface with routes `/plain/`, `/once/` and `/events/` to [endpoints]. */
internal class GatewayUnderTest(
    private val endpoints: List<ScriptedEndpoint>,
    private val keyRevocationMs: Long? = null,
    private val organisations: List<Organisation> = emptyList(),
    private val maxConnections: Int = 0,
    private val draining: Set<String> = emptySet(),
    private val stopTimeoutMs: Long = 10_000,
    private val storeReachable: () -> Boolean = { true },
    private val endpointId: (Int) -> String = { "e$it" },
    private val limits: CallerLimits = CallerLimits(),
    private val objectiveMs: Long = 1_000,
    private val secondAttempts: SecondAttemptLimits? = null,
    private val coldPerSecond: Double = 0.0,
    private val retryAllowance: Double = 100.0,
    private val otherRoutes: List<Route> = emptyList(),
    private val otherServices: List<Service> = emptyList(),
    private val configured: Boolean = true,
) : AutoCloseable {
    /** Events that the gateway has logged. */
    val events = CopyOnWriteArrayList<Event>()

    private val published = ConcurrentLinkedQueue<PublishedChange>()

    /** Fields of the events of second attempts. */
    val secondAttemptFields = CopyOnWriteArrayList<Map<String, Any?>>()

    private val eventLog = EventLog { event, fields ->
        if (event == Event.SECOND_ATTEMPT_ENDED) secondAttemptFields += fields.toMap()
        events += event
    }
    private val gateway = Gateway(settings(), WIRE, eventLog) { _ -> Feed() }
    val callerAddress: NetworkAddress = runBlocking { gateway.start() }

    /** Waits until the gateway knows its configuration and, if there are any, its endpoints. */
    fun awaitReady() {
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_TIMEOUT_MS.toLong())
        while (!request("/none/").startsWith("HTTP/1.1 404") || (endpoints.isNotEmpty() && !gateway.isReady)) {
            check(System.nanoTime() < endNanos) { "not ready in $READ_TIMEOUT_MS ms" }
            Thread.sleep(READY_POLL_MS)
        }
    }

    /** Stops the gateway in the background. */
    fun stopInBackground() {
        thread(isDaemon = true) { runBlocking { gateway.stop() } }
    }

    /** Stops the gateway and waits until it has stopped. */
    fun stopAndWait() = runBlocking { gateway.stop() }

    val metricsAddress: NetworkAddress get() = checkNotNull(gateway.metricsAddress)

    /** Publishes that all endpoints drain. */
    fun drainAll() = records().forEach { published += EndpointRegistered(it.copy(draining = true)) }

    /** The metrics page. */
    fun metrics(): String = URI("http://$metricsAddress/metrics").toURL().readText()

    /** Sends a request on a new connection and returns the response as text; it may be truncated. */
    fun request(
        path: String,
        deadlineMs: Long = 5_000,
        headers: String = "",
        attempt: String = "r1",
        body: List<String> = listOf("hi"),
    ): String = open(path, deadlineMs, headers, attempt, body).use { socket ->
        runCatching { socket.getInputStream().readAllBytes().decodeToString() }.getOrElse { "broken: $it" }
    }

    /** Sends a request on a new connection, each part of [body] in a write, and returns the open connection. */
    fun open(
        path: String,
        deadlineMs: Long = 5_000,
        headers: String = "",
        attempt: String = "r1",
        body: List<String> = listOf("hi"),
    ): Socket {
        val socket = Socket(callerAddress.host, callerAddress.port)
        socket.soTimeout = READ_TIMEOUT_MS
        val text = "POST $path HTTP/1.1\r\nHost: h\r\nA: $attempt\r\nD: $deadlineMs\r\n$headers" +
            "Connection: close\r\nContent-Length: ${body.sumOf { it.length }}\r\n\r\n"
        socket.tcpNoDelay = true
        socket.getOutputStream().write((text + body.first()).encodeToByteArray())
        body.drop(1).forEach { socket.getOutputStream().write(it.encodeToByteArray()) }
        return socket
    }

    private fun settings() = GatewaySettings(
        instance = Instance(InstanceId("i"), ZoneId("z"), NetworkAddress("127.0.0.1", 0)),
        callerAddress = NetworkAddress("127.0.0.1", 0),
        readinessAddress = NetworkAddress("127.0.0.1", 0),
        seeds = emptyList(),
        bounds = DeploymentBounds(
            stopTimeoutMs = stopTimeoutMs,
            keyRevocationMs = keyRevocationMs,
            retryRatio = 10.0,
            retryAllowance = retryAllowance,
            retryWindowMs = 10_000,
            coldFactor = 1.0,
            coldSlack = 0.0,
        ),
        metricsAddress = NetworkAddress("127.0.0.1", 0),
        secondAttempts = secondAttempts,
    )

    private fun operatorState(): OperatorState {
        val routes = listOf(
            route("/plain/", RouteKind.IDEMPOTENT),
            route("/once/", RouteKind.AT_MOST_ONCE),
            route("/events/", RouteKind.STREAMING),
        ) + otherRoutes
        val services = listOf(Service("s", "/", maxConnections, coldPerSecond)) + otherServices
        val config = ServingConfig(1, routes, services, limits, organisations)
        val published = PublishedChange.ConfigPublished(1, config).takeIf { configured }
        return OperatorState(StorePosition(0, 1), published, emptyList())
    }

    private fun records() = endpoints.mapIndexed { i, endpoint ->
        EndpointRecord(
            EndpointId(endpointId(i)),
            1,
            "s",
            endpoint.address,
            ZoneId("z"),
            1,
            draining = endpointId(i) in draining,
            coldRemainingMs = 0,
        )
    }

    private fun route(prefix: String, kind: RouteKind) = Route(
        name = prefix,
        host = "h",
        prefix = prefix,
        kind = kind,
        timeoutMs = 30_000,
        objectiveMs = objectiveMs,
        priority = 0,
        targets = listOf(RouteTarget("s", 1)),
        maxAttempts = 2,
        resumable = kind == RouteKind.STREAMING,
    )

    private inner class Feed : PlatformFeed {
        override suspend fun operatorState() = Ok(this@GatewayUnderTest.operatorState())

        override suspend fun endpoints(betweenPages: suspend () -> Unit) =
            Ok(EndpointListing(StorePosition(0, 1), records()))

        override suspend fun changes(after: StorePosition, waitMs: Long) = if (storeReachable()) {
            val endMs = TrafficLoop.nowMs() + waitMs
            while (published.isEmpty() && TrafficLoop.nowMs() < endMs) delay(PUBLISH_POLL_MS)
            val changes = generateSequence(published::poll).toList()
            Ok(FeedChanges(after.copy(revision = after.revision + changes.size), changes))
        } else {
            delay(RETRY_MS)
            Err(FeedFailure.Unavailable("store unreachable"))
        }
    }

    override fun close() = gateway.close()

    companion object {
        const val READ_TIMEOUT_MS = 8_000
        const val READY_POLL_MS = 5L
        const val RETRY_MS = 20L
        const val PUBLISH_POLL_MS = 5L
        val KEYED_ORGANISATIONS = listOf(Organisation(OrganisationId("o"), listOf("k")))

        val HEADERS = HeaderNames(
            attemptId = "A",
            deadlineMs = "D",
            organisation = "O",
            expectedEndpoint = "E",
            signature = "S",
            notExecuted = "N",
            leaving = "G",
            promptParts = "P",
            pieceCounts = "C",
            pieceKey = "K",
            inputs = "I",
            requestPriority = "U",
            lastEventId = "L",
            reserved = setOf("U"),
        )

        private val WIRE = WireProtocol(
            HEADERS,
            object : StageCallCodec {
                override val runPath = "/run"
                override val releasePath = "/free"
                override val contentType = "text/plain"

                override fun encodeRun(pieces: List<PieceWork>, nowMs: Long) = ByteArray(0)

                override fun decodeRun(body: ByteArray): List<PieceOutcome>? = null

                override fun encodeRelease(handles: List<String>) = ByteArray(0)
            },
            keyScheme = "Bearer",
            readyPath = "/ready",
        )
    }
}
