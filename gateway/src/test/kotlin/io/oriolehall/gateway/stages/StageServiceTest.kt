package io.oriolehall.gateway.stages

import io.ktor.network.selector.SelectorManager
import io.oriolehall.dispatch.config.CallerLimits
import io.oriolehall.dispatch.config.PieceLimits
import io.oriolehall.dispatch.config.RouteTable
import io.oriolehall.dispatch.config.Service
import io.oriolehall.dispatch.config.ServingConfig
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.path.GatewayUnderTest
import io.oriolehall.gateway.path.ScriptedEndpoint
import io.oriolehall.gateway.upstream.Connector
import io.oriolehall.gateway.upstream.EndpointPools
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.policy.membership.Member
import io.oriolehall.policy.membership.MemberState
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch

class StageServiceTest {
    private val log = EventLog { _, _ -> }
    private val self = member("self")
    private val lost = mutableSetOf<InstanceId>()
    private val limits = PieceLimits(1, batch = 1, 2_000.0, 10.0, resultMemoryBytes = 1_000, resultLifetimeMs = 4_000)
    private val service = Service("s", "/", maxConnections = 0, coldPerSecond = 0.0, pieces = limits)
    private val table = RouteTable(ServingConfig(1, emptyList(), listOf(service), CallerLimits(), emptyList()))

    /** Returns a member with an address at which nothing listens. */
    private fun member(name: String) =
        Member(InstanceId(name), ZoneId("z"), NetworkAddress("127.0.0.1", 1), Incarnation(1, 1), MemberState.ALIVE, 0)

    /** Runs [test] on the traffic thread, with a stage service whose only worker runs [script]. */
    private fun <T> withStages(
        ownersOf: () -> List<Member>,
        script: ScriptedEndpoint.Exchange.() -> Unit,
        test: suspend CoroutineScope.(StageService) -> T,
    ): T {
        val worker = ScriptedEndpoint(script)
        val loop = TrafficLoop(log)
        val wire = WireProtocol(GatewayUnderTest.HEADERS, PieceCountCodec, "Bearer", "/ready")
        val record = EndpointRecord(EndpointId("w"), 1, "s", worker.address, ZoneId("z"), 1, false, 0)
        val selector = SelectorManager(Dispatchers.IO)
        val peerScope = CoroutineScope(Dispatchers.Default)
        val stages = StageService(
            self = self.id,
            ownersOf = { ownersOf() },
            isReachable = { it !in lost },
            unreachableZones = { emptySet() },
            peers = PeerClient(selector, peerScope),
            table = { table },
            workers = { listOf(record) },
            client = StageWorkerClient(EndpointPools(Connector(loop), openAccess(record)), wire),
            scope = loop.scope,
            log = log,
            observer = { _, _, _, _ -> },
        )
        try {
            return runBlocking { withContext(loop.dispatcher) { test(stages) } }
        } finally {
            peerScope.cancel()
            selector.close()
            loop.close()
            worker.close()
        }
    }

    private fun CoroutineScope.runAsync(stages: StageService, requestId: String) =
        async(start = CoroutineStart.UNDISPATCHED) { stages.run(stageRequest(requestId)) {} }

    /**
     * Guards against a failure (seen in pcta-fittings, trouble-2): an instance was informed of a long queue only by
     * the final answer, seconds later.
     */
    @Test
    fun `a request that finds others waiting tells at once how long its stage takes`() {
        val resumeWorker = CountDownLatch(1)
        val script: ScriptedEndpoint.Exchange.() -> Unit = {
            resumeWorker.await()
            respond(body = "x")
        }
        val expectedMs = withStages({ listOf(self) }, script) { stages ->
            val answers = listOf("begun", "waiting", "last").map { runAsync(stages, it) }
            val estimateMs = stages.timeEstimates.expectedMs("s", limits, TrafficLoop.nowMs())
            resumeWorker.countDown()
            answers.forEach { it.cancel() }
            estimateMs
        }
        expectThat(expectedMs).isGreaterThan(2 * limits.callMs)
    }

    /**
     * Guards against a failure (seen in pcta-fittings, trouble-2): requests of callers were rejected with NOT_OWNER
     * although this instance could have run them.
     */
    @Test
    fun `what waits here when the queue moves to an instance that cannot be reached is run here`() {
        val resumeWorker = CountDownLatch(1)
        var owner = self
        val script: ScriptedEndpoint.Exchange.() -> Unit = {
            if (number == 1) resumeWorker.await()
            respond(body = "x")
        }
        val (begun, waiting) = withStages({ listOf(owner) }, script) { stages ->
            val answers = listOf("begun", "waiting").map { runAsync(stages, it) }
            owner = member("other")
            stages.onOwnersChanged()
            resumeWorker.countDown()
            answers.map { it.await() }
        }
        expectThat(begun.results).hasSize(1)
        expectThat(waiting.failure).isNull()
    }

    /** Accepts connections and requests, and never answers. */
    private fun <T> withSilentMember(
        test: (Member) -> T,
    ): T = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")).use {
        test(member("silent").copy(address = NetworkAddress("127.0.0.1", it.localPort)))
    }

    private val answering: ScriptedEndpoint.Exchange.() -> Unit = { respond(body = "x") }

    /** The first request only loads the classes, at an owner of its own. */
    @Test
    fun `an owner that does not acknowledge is not waited for, and the next request does not ask it`() {
        withSilentMember { silent ->
            var owner = silent.copy(id = InstanceId("first"))
            val elapsedMs = withStages({ listOf(owner) }, answering) { stages ->
                List(3) {
                    val startMs = TrafficLoop.nowMs()
                    expectThat(stages.run(stageRequest("r$it")) {}.failure).isNull()
                    owner = silent
                    TrafficLoop.nowMs() - startMs
                }
            }
            println("silent owner: $elapsedMs ms")
            expectThat(elapsedMs[1]).isLessThan(2_000)
            expectThat(elapsedMs[2]).isLessThan(300)
        }
    }

    @Test
    fun `where the owner is silent, the deputy runs the pieces`() {
        val asked = CopyOnWriteArrayList<Boolean>()
        val selector = SelectorManager(Dispatchers.IO)
        val scope = CoroutineScope(Dispatchers.Default)
        val server = PeerServer(selector, scope, log)
        server.serve(StageChannels.RUN) { request, emit ->
            asked += request.ownerSilent
            emit(StageAnswer(listOf(StageResult("h", NetworkAddress("127.0.0.1", 1), ZoneId("z")))))
        }
        val deputy = member("deputy").copy(address = runBlocking { server.start(NetworkAddress("127.0.0.1", 0)) })
        withSilentMember { silent ->
            val answer = withStages({ listOf(silent, deputy) }, answering) { it.run(stageRequest("r")) {} }
            expectThat(answer.results).hasSize(1)
            expectThat(asked.toList()).isEqualTo(listOf(true))
        }
        scope.cancel()
        selector.close()
    }

    /** After a restart of all instances, requests were let in that took four times as long as their owners expected. */
    @Test
    fun `a request that took much longer than its owner expects tells how long the next one takes`() {
        val selector = SelectorManager(Dispatchers.IO)
        val scope = CoroutineScope(Dispatchers.Default)
        val server = PeerServer(selector, scope, log)
        val result = StageResult("h", NetworkAddress("127.0.0.1", 1), ZoneId("z"))
        server.serve(StageChannels.RUN) { _, emit ->
            emit(StageAnswer(queued = true))
            delay(3_000)
            emit(StageAnswer(listOf(result), expectedMs = 400))
        }
        val owner = member("owner").copy(address = runBlocking { server.start(NetworkAddress("127.0.0.1", 0)) })
        val expectedMs = withStages({ listOf(owner) }, answering) { stages ->
            stages.run(stageRequest("r")) {}
            stages.timeEstimates.expectedMs("s", limits, TrafficLoop.nowMs())
        }
        expectThat(expectedMs).isGreaterThan(2_500.0)
        scope.cancel()
        selector.close()
    }

    /** An owner in a zone that is cut off acknowledged the request before the cut. */
    @Test
    fun `a request at an owner that is lost goes on elsewhere`() {
        val selector = SelectorManager(Dispatchers.IO)
        val scope = CoroutineScope(Dispatchers.Default)
        val server = PeerServer(selector, scope, log)
        val acknowledged = CompletableDeferred<Unit>()
        server.serve(StageChannels.RUN) { _, emit ->
            emit(StageAnswer(queued = true))
            acknowledged.complete(Unit)
            awaitCancellation()
        }
        val owner = member("owner").copy(address = runBlocking { server.start(NetworkAddress("127.0.0.1", 0)) })
        var owners = listOf(owner)
        val answer = withStages({ owners }, answering) { stages ->
            val running = runAsync(stages, "r")
            acknowledged.await()
            lost += owner.id
            owners = listOf(self)
            stages.onOwnersChanged()
            withTimeout(5_000) { running.await() }
        }
        expectThat(answer.results).hasSize(1)
        scope.cancel()
        selector.close()
    }
}
