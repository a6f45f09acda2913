package io.oriolehall.gateway.stages

import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.stages.PieceInput
import io.oriolehall.dispatch.stages.PieceWork
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.path.GatewayUnderTest
import io.oriolehall.gateway.path.ScriptedEndpoint
import io.oriolehall.gateway.upstream.Connector
import io.oriolehall.gateway.upstream.EndpointPools
import io.oriolehall.gateway.wire.PieceOutcome
import io.oriolehall.gateway.wire.StageCallCodec
import io.oriolehall.gateway.wire.WireProtocol
import io.oriolehall.model.EndpointId
import io.oriolehall.model.ZoneId
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CopyOnWriteArraySet

/** Answers of stage workers, which may be second answers to earlier calls. */
class StageWorkerClientTest {
    /** Answers are handles, one a line; an answer without one says that the piece failed. */
    private object LineCodec : StageCallCodec by PieceCountCodec {
        override fun decodeRun(body: ByteArray): List<PieceOutcome>? = when (val text = body.decodeToString()) {
            "freed" -> null
            "failed" -> listOf(PieceOutcome.Failed)
            else -> text.lines().map(PieceOutcome::Done)
        }
    }

    private val loop = TrafficLoop(EventLog { _, _ -> })
    private val workers = CopyOnWriteArrayList<ScriptedEndpoint>()

    @AfterEach
    fun end() {
        loop.close()
        workers.forEach(ScriptedEndpoint::close)
    }

    private fun record(worker: ScriptedEndpoint) =
        EndpointRecord(EndpointId("w"), 1, "s", worker.address, ZoneId("z"), 1, false, 0)

    private fun client(worker: ScriptedEndpoint): StageWorkerClient {
        workers += worker
        val wire = WireProtocol(GatewayUnderTest.HEADERS, LineCodec, "Bearer", "/ready")
        return StageWorkerClient(EndpointPools(Connector(loop), openAccess(record(worker))), wire)
    }

    private fun work(request: String) =
        PieceWork(request, 0, 0, PieceInput.Key("k"), 1, 0, null, 1, false, 20_000, 30_000, 0)

    private fun <T> onTraffic(action: suspend () -> T): T =
        runBlocking { withContext(loop.dispatcher) { action() } }

    private fun StageWorkerClient.run(worker: ScriptedEndpoint, request: String): StageCallAnswer =
        onTraffic { run(record(worker), listOf(work(request)), timeoutMs = 2_000) }

    private fun answer(text: String, id: String? = null, status: String = "200 OK", extra: String = "") =
        "HTTP/1.1 $status\r\n${id?.let { "A: $it\r\n" }.orEmpty()}${extra}Content-Length: ${text.length}\r\n\r\n$text"

    private fun done(handle: String) = StageCallAnswer.Done(listOf(PieceOutcome.Done(handle)))

    /** Guards against review case 1: a late second answer was taken for the answer to the next call. */
    @Test
    fun `an answer that names another call is not used, and the next call gets its own`() {
        val ids = CopyOnWriteArrayList<String>()
        val worker = ScriptedEndpoint {
            ids += header("A").orEmpty()
            if (number == 2) write(answer("h1", ids[0]))
            write(answer("h$number", header("A")))
        }
        val client = client(worker)
        expectThat(client.run(worker, "r1")).isEqualTo(done("h1"))
        expectThat(client.run(worker, "r2")).isA<StageCallAnswer.Failed>()
        expectThat(client.run(worker, "r3")).isEqualTo(done("h3"))
        expectThat(ids.toSet().size).isEqualTo(3)
        expectThat(ids.first()).isNotEqualTo("")
    }

    /** Guards against review case 1 at workers that do not return the identifier of a call. */
    @Test
    fun `results of another call are not used, and the next call gets its own`() {
        val worker = ScriptedEndpoint {
            if (number == 2) write(answer("h1"))
            write(answer("h$number"))
        }
        val client = client(worker)
        expectThat(client.run(worker, "r1")).isEqualTo(done("h1"))
        expectThat(client.run(worker, "r2")).isA<StageCallAnswer.Failed>()
        expectThat(client.run(worker, "r3")).isEqualTo(done("h3"))
    }

    /** Guards against review case 1: the true answer that follows a second one was taken for that to the next call. */
    @Test
    fun `after an answer that may be a second one, its connection is not used again`() {
        val refusal = answer("", status = "503 Full", extra = "N: 1\r\n")
        for (doubtful in listOf(refusal, answer("failed"))) {
            val worker = ScriptedEndpoint {
                if (number == 1) write(doubtful)
                if (number == 1) Thread.sleep(LATE_MS)
                write(answer("h$number"))
            }
            val client = client(worker)
            client.run(worker, "r1")
            expectThat(client.run(worker, "r2")).isEqualTo(done("h2"))
        }
    }

    /** Guards against results that are taken for the confirmation that others are free. */
    @Test
    fun `results do not confirm that others are free`() {
        val worker = ScriptedEndpoint { write(answer(if (number == 2) "h1" else "freed")) }
        val client = client(worker)
        val confirmed = List(3) { onTraffic { client.release(record(worker), listOf("h")) } }
        expectThat(confirmed).containsExactly(true, false, true)
    }

    @Test
    fun `the same result for the same piece is used, and its connection too`() {
        val connections = CopyOnWriteArraySet<Socket>()
        val worker = ScriptedEndpoint {
            connections += socket
            write(answer("h1"))
        }
        val client = client(worker)
        repeat(3) { expectThat(client.run(worker, "r1")).isEqualTo(done("h1")) }
        expectThat(connections.size).isEqualTo(1)
    }

    /** Guards against a malformed status that says that a call has not run, or that confirms a release. */
    @Test
    fun `an answer with a malformed status is a failure`() {
        for (status in listOf("000 X", "099 X", "600 X", "1000 X", "0200 OK", "0421 X")) {
            val worker = ScriptedEndpoint { write(answer("h1", header("A"), status, extra = "N: 1\r\n")) }
            val client = client(worker)
            expectThat(client.run(worker, "r1")).describedAs(status).isA<StageCallAnswer.Failed>()
            expectThat(onTraffic { client.release(record(worker), listOf("h")) }).describedAs(status).isEqualTo(false)
        }
    }

    private companion object {
        const val LATE_MS = 100L
    }
}
