package io.oriolehall.entry.stages

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.oriolehall.entry.http.ResponseCheck
import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.PoolId
import io.oriolehall.model.RequestId
import io.oriolehall.model.StageCall
import io.oriolehall.model.StageKind
import io.oriolehall.model.StageResult
import io.oriolehall.model.WireJson
import io.oriolehall.model.ZoneId
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** Guards against a malformed or incomplete response that is used, or that ends its request by an exception. */
@Timeout(60)
class MalformedResponseTest {
    private val call = StageCall(
        requestId = RequestId("a~1"),
        stage = "embed",
        attempt = 1,
        organisation = OrganisationId("authority"),
        input = "furisode",
        query = "furisode",
        remainingMs = 5_000,
        maxTokens = 2,
    )
    private val result =
        WireJson.encodeToString(StageResult.serializer(), StageResult(call.requestId, call.stage, 1, "obi"))

    /** Calls an endpoint that runs [respond] when it has read the head of a request. */
    private fun <T> atEndpoint(respond: Socket.() -> Unit, call: suspend EndpointClient.(Endpoint) -> T): T =
        ServerSocket(0, 10, InetAddress.getByName("127.0.0.1")).use { server ->
            thread(isDaemon = true) { runCatching { while (true) server.accept().use { it.serve(respond) } } }
            val address = NetworkAddress("127.0.0.1", server.localPort)
            val endpoint = Endpoint(EndpointId("e1"), ZoneId("z1"), PoolId("embedders"), address)
            HttpClient(CIO) { install(ResponseCheck) }.use { http ->
                runBlocking { EndpointClient(http, { it }).call(endpoint) }
            }
        }

    private fun Socket.serve(respond: Socket.() -> Unit) {
        val input = getInputStream().bufferedReader()
        generateSequence { input.readLine() }.takeWhile(String::isNotEmpty).count()
        respond()
    }

    private fun Socket.write(text: String) = getOutputStream().write(text.encodeToByteArray())

    private fun answer(status: String, body: String): Socket.() -> Unit = {
        write("HTTP/1.1 $status\r\nContent-Length: ${body.length}\r\nConnection: close\r\n\r\n$body")
    }

    /** The parser's exceptions ended the request with an internal error, also where its stage may be repeated. */
    @Test
    fun `a call whose response has a malformed status is lost`() {
        for (status in MALFORMED) {
            val respond = answer(status, result)
            val run = atEndpoint(respond) { run(it, call) }
            val generated = atEndpoint(respond) { generate(it, call, GeneratedText()) }
            for (outcome in listOf(run, generated)) {
                expectThat(outcome.error).describedAs(status).isA<StageFailure.Lost>()
            }
        }
    }

    @Test
    fun `a malformed status does not confirm that a call was stopped`() {
        for (status in MALFORMED) {
            val stopped = atEndpoint(answer(status, "")) { stop(it, StageKind.GENERATE, call) }
            expectThat(stopped).describedAs(status).isEqualTo(false)
        }
    }

    @Test
    fun `a valid status without a reason is read`() {
        expectThat(atEndpoint(answer("200", result)) { run(it, call) }.isOk).isEqualTo(true)
    }

    /** A result must be whole JSON, so that a reset after it does no harm. */
    @Test
    fun `a part of a result is never a result, whenever the connection is reset`() {
        val part = result.dropLast(1)
        val heads = listOf(
            "\r\n$part",
            "Connection: close\r\n\r\n$part",
            "Content-Length: ${result.length}\r\n\r\n$part",
            "Transfer-Encoding: chunked\r\n\r\n${part.length.toString(radix = 16)}\r\n$part\r\n",
            "Transfer-Encoding: chunked\r\n\r\nzz\r\n$part\r\n",
        )
        for (input in listOf("short", "x".repeat(LONG_CHARS))) {
            for (head in heads) {
                for (pauseMs in listOf(0L, 20L, 100L)) {
                    val respond: Socket.() -> Unit = {
                        write("HTTP/1.1 200 OK\r\n$head")
                        Thread.sleep(pauseMs)
                        setSoLinger(true, 0)
                    }
                    val outcome = atEndpoint(respond) { run(it, call.copy(input = input)) }
                    expectThat(outcome.isErr && outcome.error.ran).describedAs("$head $pauseMs").isEqualTo(true)
                }
            }
        }
    }

    private companion object {
        /** More than the socket buffers of both ends hold. */
        const val LONG_CHARS = 16_000_000
        val MALFORMED = listOf(
            "000 X", "099 X", "600 X", "999 X", "1000 X", "2000 OK", "20x OK", "+200 OK", "-200 OK", "20 OK", "200OK",
            "OK", "", "099", "20",
        )
    }
}
