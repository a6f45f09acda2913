package io.oriolehall.proofs.path

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.cli.client.CallerClient
import io.oriolehall.cli.client.CallerCredentials
import io.oriolehall.cli.client.callerHttp
import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.FleetBuilder
import io.oriolehall.harness.fleet.awaitThat
import io.oriolehall.harness.fleet.withFleet
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.StageKind
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import strikt.assertions.single
import strikt.assertions.startsWith
import java.net.Socket
import java.net.SocketException
import java.util.Base64

class BadInputTest {
    private val credentials = Base64.getEncoder().encodeToString("authority:secret-of-authority".encodeToByteArray())
    private val json = """{"input":"hello"}"""

    @Test
    fun `bad requests get a typed problem and the instance lives`() = withFleet("bad-requests", { small() }) {
        val entry = it.entries.first()
        expectThat(entry.post("echo", "{")).isProblem(400, "bad-request")
        expectThat(entry.post("echo", "[1,2]")).isProblem(400, "bad-request")
        expectThat(entry.post("echo", "\u0000\u0001")).isProblem(400, "bad-request")
        expectThat(entry.post("nowhere", json)).isProblem(404, "unknown-pipeline")
        expectThat(entry.post("echo", json, "Deadline-Ms: -5")).isProblem(504, "deadline-exceeded")
        expectThat(entry.post("echo", json, "Deadline-Ms: soon")).isProblem(400, "bad-request")
        expectThat(entry.post("echo", """{"input":"${"x".repeat(300_000)}"}""")).isProblem(413, "too-large")
        it.stillServes()
    }

    @Test
    fun `wrong credentials are turned away`() = withFleet("bad-credentials", { small() }) {
        callerHttp().use { http ->
            for (wrong in listOf(CallerCredentials("authority", "guess"), CallerCredentials("nobody", "x"))) {
                val outcome = CallerClient(http, it.entries.first().ports.callers, wrong)
                    .send("echo", PipelineRequest("hello"))
                expectThat(outcome).isA<CallOutcome.Refused>().get { problem.status } isEqualTo 401
            }
        }
        it.stillServes()
    }

    @Test
    fun `garbage and wrong versions on any port end only their connection`() = withFleet("garbage", { small() }) {
        val ports = it.entries.first().ports
        val wrongFrames = listOf(
            byteArrayOf(0x7f, -1, -1, -1),
            byteArrayOf(0, 0, 0, 3, 1, 2, 3),
            byteArrayOf(0, 0, 0, 0),
            wrongVersionFrame(),
        )
        for (address in listOf(ports.callers, ports.operators, ports.peers)) {
            wrongFrames.forEach { bytes -> exchange(address, bytes) }
            exchange(address, ByteArray(50_000) { i -> (i * 31).toByte() })
        }
        expectThat(it.entries.first().ready()).isTrue()
        it.stillServes()
    }

    @Test
    fun `a sender that stalls is cut off while others are served`() = withFleet("slow-sender", { small() }) {
        val entry = it.entries.first()
        open(entry.ports.callers).use { socket ->
            val head = "POST /v1/pipelines/echo HTTP/1.1\r\nHost: x\r\nAuthorization: Basic $credentials\r\n" +
                "Content-Length: 1000\r\n\r\n{"
            socket.getOutputStream().write(head.encodeToByteArray())
            it.stillServes()
            val answer = socket.getInputStream().bufferedReader().readLine()
            expectThat(answer).startsWith("HTTP/1.1 400")
        }
        it.stillServes()
    }

    @Test
    fun `a ticket that does not parse changes nothing and is listed with its remedy`() =
        withFleet("bad-ticket", { small() }) {
            val entry = it.entries.first()
            val before = entry.status()
            it.tickets.publishText("{not a ticket")
            awaitThat("the ticket is rejected") { entry.status().rejectedTickets.isNotEmpty() }
            expectThat(entry.status()) {
                get { rejectedTickets }.single().get { remedy }.startsWith("not a ticket")
                get { configDigest } isEqualTo before.configDigest
                get { highestTicket } isEqualTo before.highestTicket
            }
            it.stillServes()
        }

    private fun strikt.api.Assertion.Builder<String>.isProblem(status: Int, kind: String) {
        startsWith("HTTP/1.1 $status")
        contains("urn:oriolehall:problem:$kind")
        contains("\"outcome\":\"not-run\"")
    }

    private suspend fun Fleet.stillServes() {
        val outcome = caller("authority", entries.first()).send("echo", PipelineRequest("hello"))
        expectThat(outcome).isA<CallOutcome.Whole>()
        expectThat(entries.all { it.process.alive }).isTrue()
    }

    private fun EntryProcess.post(pipeline: String, body: String, vararg headers: String): String {
        val bytes = body.encodeToByteArray()
        val lines = listOf(
            "POST /v1/pipelines/$pipeline HTTP/1.1",
            "Host: x",
            "Connection: close",
            "Authorization: Basic $credentials",
            "Content-Length: ${bytes.size}",
        ) + headers
        return exchange(ports.callers, lines.joinToString("\r\n", postfix = "\r\n\r\n").encodeToByteArray() + bytes)
    }

    private fun open(address: NetworkAddress) = Socket(address.host, address.port).apply { soTimeout = 20_000 }

    private fun exchange(address: NetworkAddress, bytes: ByteArray): String = open(address).use { socket ->
        try {
            socket.getOutputStream().write(bytes)
            socket.shutdownOutput()
            socket.getInputStream().readBytes().decodeToString()
        } catch (e: SocketException) {
            "connection ended: ${e.message}"
        }
    }

    /** A frame of CBOR: a map with kind, exchange and version 99. */
    private fun wrongVersionFrame(): ByteArray {
        val text = "bf" + cborText("kind") + cborText("REQUEST") + cborText("exchange") + "01" +
            cborText("channel") + cborText("x") + cborText("version") + "1863" + cborText("payload") + "40" + "ff"
        val cbor = text.hexToByteArray()
        return byteArrayOf(0, 0, 0, cbor.size.toByte()) + cbor
    }

    private fun cborText(text: String) = "%02x".format(0x60 + text.length) + text.encodeToByteArray().toHexString()

    private fun FleetBuilder.small() {
        zone("z1") {
            entries(1)
            endpoint("echo-1", "echo", StageKind.ENCODE)
        }
        organisation("authority")
        pipeline("echo") { stage("encode", StageKind.ENCODE, "echo") }
    }
}
