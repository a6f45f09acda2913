package io.oriolehall.gateway.stages

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import io.oriolehall.dispatch.config.PieceLimits
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.endpoints.EndpointSnapshot
import io.oriolehall.dispatch.endpoints.LoadReport
import io.oriolehall.dispatch.stages.WorkerChoice
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.path.GatewayUnderTest
import io.oriolehall.gateway.path.ScriptedEndpoint
import io.oriolehall.gateway.upstream.Connector
import io.oriolehall.gateway.upstream.EndpointAccess
import io.oriolehall.gateway.upstream.EndpointPools
import io.oriolehall.gateway.wire.LoadHeader
import io.oriolehall.gateway.wire.LoadHeaderError
import io.oriolehall.gateway.wire.PieceOutcome
import io.oriolehall.gateway.wire.StageCallCodec
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.model.EndpointId
import io.oriolehall.model.ZoneId
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class StageOwnerTest {
    private val log = EventLog { _, _ -> }
    private val limits = PieceLimits(1, batch = 1, 2_000.0, 10.0, resultMemoryBytes = 1_000, resultLifetimeMs = 4_000)

    /**
     * Guards against incident inc-1449: a request that an instance ran as a fallback, because the owner of the queue
     * could not be reached, was returned immediately when the queue was handed over.
     */
    @Test
    fun `what waits is given back when the queue moves, but not what no other instance could be asked for`() {
        val resumeWorker = CountDownLatch(1)
        val worker = ScriptedEndpoint {
            if (number == 1) resumeWorker.await()
            respond(body = "x")
        }
        val loop = TrafficLoop(log)
        val wire = WireProtocol(GatewayUnderTest.HEADERS, PieceCountCodec, "Bearer", "/ready")
        val record = EndpointRecord(EndpointId("w"), 1, "s", worker.address, ZoneId("z"), 1, false, 0)
        val client = StageWorkerClient(EndpointPools(Connector(loop), openAccess(record)), wire)
        val owner = StageOwner("s", limits, { listOf(record) }, { emptySet() }, client, loop.scope, log)
        val (begun, waiting, fallback) = runBlocking {
            withContext(loop.dispatcher) {
                val answers = listOf(
                    async(start = CoroutineStart.UNDISPATCHED) { owner.run(stageRequest("begun")) },
                    async(start = CoroutineStart.UNDISPATCHED) { owner.run(stageRequest("waiting")) },
                    async(start = CoroutineStart.UNDISPATCHED) { owner.run(stageRequest("fallback"), fallback = true) },
                )
                owner.handOver()
                resumeWorker.countDown()
                answers.map { it.await() }
            }
        }
        expectThat(begun.results).hasSize(1)
        expectThat(waiting.failure).isEqualTo(StageFailure.NOT_OWNER)
        expectThat(fallback.failure).isNull()
        loop.close()
        worker.close()
    }

    /** Guards against a handle that ends the requests which name it: their list of inputs could not be sent or read. */
    @Test
    fun `a result whose handle no request can name is computed again`() {
        val handleCodec = object : StageCallCodec by PieceCountCodec {
            override fun decodeRun(body: ByteArray) = listOf(PieceOutcome.Done(body.decodeToString()))
        }
        val answers = listOf("a,b", "usable", "a b", "usable", "a\r\nb", "usable", "", "usable")
        val worker = ScriptedEndpoint { respond(body = answers[number - 1]) }
        val loop = TrafficLoop(log)
        val wire = WireProtocol(GatewayUnderTest.HEADERS, handleCodec, "Bearer", "/ready")
        val record = EndpointRecord(EndpointId("w"), 1, "s", worker.address, ZoneId("z"), 1, false, 0)
        val client = StageWorkerClient(EndpointPools(Connector(loop), openAccess(record)), wire)
        val owner = StageOwner("s", limits, { listOf(record) }, { emptySet() }, client, loop.scope, log)
        repeat(answers.size / 2) {
            val answer = runBlocking { withContext(loop.dispatcher) { owner.run(stageRequest("r$it")) } }
            expectThat(answer.results.map { result -> result.handle }).containsExactly("usable")
        }
        loop.close()
        worker.close()
    }

    /**
     * Guards against a failure (seen in pcta-fittings, quiet-1): calls were sent to workers that had not freed memory
     * yet, so that 46 pieces found no memory. By then, the inputs of these pieces had been released.
     */
    @Test
    fun `memory counts as taken until the worker has answered that it is free`() {
        val order = CopyOnWriteArrayList<String>()
        val secondRun = CountDownLatch(2)
        val worker = ScriptedEndpoint {
            order += head.first().split(' ')[1]
            if (order.last() == PieceCountCodec.runPath) secondRun.countDown()
            if (order.last() == PieceCountCodec.releasePath) secondRun.await(300, TimeUnit.MILLISECONDS)
            order += "answered"
            respond(body = "x")
        }
        val smallLimits = limits.copy(resultMemoryBytes = 1)
        val loop = TrafficLoop(log)
        val wire = WireProtocol(GatewayUnderTest.HEADERS, PieceCountCodec, "Bearer", "/ready")
        val record = EndpointRecord(EndpointId("w"), 1, "s", worker.address, ZoneId("z"), 1, false, 0)
        val client = StageWorkerClient(EndpointPools(Connector(loop), openAccess(record)), wire)
        val owner = StageOwner("s", smallLimits, { listOf(record) }, { emptySet() }, client, loop.scope, log)
        runBlocking {
            withContext(loop.dispatcher) {
                val first = owner.run(stageRequest("first"))
                val second = async(start = CoroutineStart.UNDISPATCHED) { owner.run(stageRequest("second")) }
                owner.release(first.results)
                second.await()
            }
        }
        expectThat(order.toList())
            .containsExactly("/run", "answered", "/free", "answered", "/run", "answered")
        loop.close()
        worker.close()
    }

    /** Guards against reports that are lost on their way to the choice, or kept after their worker sends none. */
    @Test
    fun `workers are chosen by completion while they report their speed, and one error is logged`() {
        val choices = CopyOnWriteArrayList<WorkerChoice>()
        val events = CopyOnWriteArrayList<Event>()
        val eventLog = EventLog { event, _ -> events += event }
        val answers = listOf("W: 100\r\n", "W: soon\r\n", "W: soon\r\n", "", "")
        val worker = ScriptedEndpoint { respond(body = "x", extra = answers[number - 1]) }
        val loop = TrafficLoop(log)
        val header = object : LoadHeader {
            override val name = "W"

            override fun parse(text: String) = text.toIntOrNull()?.let { Ok(LoadReport(0, 0, 1, it / 100.0)) }
                ?: Err(LoadHeaderError(text, "a number"))
        }
        val record = EndpointRecord(EndpointId("w"), 1, "s", worker.address, ZoneId("z"), 1, false, 0)
        val snapshot = EndpointSnapshot(persistentMapOf(record.id to record))
        val access = EndpointAccess({ snapshot }, GatewayUnderTest.HEADERS.leaving, eventLog, loadHeader = header)
        val wire = WireProtocol(GatewayUnderTest.HEADERS, PieceCountCodec, "Bearer", "/ready", header)
        val client = StageWorkerClient(EndpointPools(Connector(loop), access), wire)
        val owner =
            StageOwner("s", limits, { listOf(record) }, { emptySet() }, client, loop.scope, log) { _, call, _, _ ->
                choices += call.choice
            }
        repeat(answers.size) { runBlocking { withContext(loop.dispatcher) { owner.run(stageRequest("r$it")) } } }
        expectThat(choices.map { it == WorkerChoice.COMPLETION }).containsExactly(false, true, true, true, false)
        expectThat(events.toList()).containsExactly(Event.SPEED_REPORTED, Event.LOAD_UNREADABLE)
        loop.close()
        worker.close()
    }
}
