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
import io.oriolehall.policy.membership.Member
import io.oriolehall.policy.membership.MemberState
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull
import java.util.concurrent.CountDownLatch

class StageServiceTest {
    private val log = EventLog { _, _ -> }
    private val self = member("self")
    private val limits = PieceLimits(1, batch = 1, 2_000.0, 10.0, resultMemoryBytes = 1_000, resultLifetimeMs = 4_000)
    private val service = Service("s", "/", maxConnections = 0, coldPerSecond = 0.0, pieces = limits)
    private val table = RouteTable(ServingConfig(1, emptyList(), listOf(service), CallerLimits(), emptyList()))

    /** Returns a member with an address at which nothing listens. */
    private fun member(name: String) =
        Member(InstanceId(name), ZoneId("z"), NetworkAddress("127.0.0.1", 1), Incarnation(1, 1), MemberState.ALIVE, 0)

    /** Runs [test] on the traffic thread, with a stage service whose only worker runs [script]. */
    private fun <T> withStages(
        ownerOf: () -> Member,
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
            ownerOf = { ownerOf() },
            peers = PeerClient(selector, peerScope),
            table = { table },
            workers = { listOf(record) },
            client = StageWorkerClient(EndpointPools(Connector(loop)), wire),
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
        val expectedMs = withStages({ self }, script) { stages ->
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
        val (begun, waiting) = withStages({ owner }, script) { stages ->
            val answers = listOf("begun", "waiting").map { runAsync(stages, it) }
            owner = member("other")
            stages.handOver()
            resumeWorker.countDown()
            answers.map { it.await() }
        }
        expectThat(begun.results).hasSize(1)
        expectThat(waiting.failure).isNull()
    }
}
