package io.oriolehall.entry.stages

import com.github.michaelbull.result.Result
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.utils.io.writeStringUtf8
import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.PoolId
import io.oriolehall.model.RequestId
import io.oriolehall.model.StageCall
import io.oriolehall.model.StageResult
import io.oriolehall.model.StreamLine
import io.oriolehall.model.WireJson
import io.oriolehall.model.ZoneId
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import io.ktor.server.cio.CIO as ServerCIO

/** An engine that falls silent is given up by the limit in force: one until its first line, another one after it. */
@Timeout(20)
class SilentStreamTest {
    private val call = StageCall(
        requestId = RequestId("a~1"),
        stage = "generate",
        attempt = 1,
        organisation = OrganisationId("authority"),
        input = "furisode",
        query = "furisode",
        remainingMs = LONG_MS,
        maxTokens = 2,
    )

    /** Calls an engine that sends [lines] lines and then nothing. */
    private fun callSilent(
        lines: Int,
        call: StageCall,
        timeouts: StreamTimeouts,
        text: GeneratedText,
    ): Result<StageResult, StageFailure> = runBlocking {
        val line = WireJson.encodeToString(StreamLine.serializer(), StreamLine(call.requestId, call.stage, 1, 0, "obi"))
        val server = embeddedServer(ServerCIO, host = "127.0.0.1", port = 0) {
            routing {
                post("/run") {
                    this.call.respondBytesWriter {
                        repeat(lines) { writeStringUtf8(line + "\n") }
                        flush()
                        awaitCancellation()
                    }
                }
            }
        }
        server.startSuspend(wait = false)
        val address = NetworkAddress("127.0.0.1", server.engine.resolvedConnectors().first().port)
        val endpoint = Endpoint(EndpointId("e1"), ZoneId("z1"), PoolId("engines"), address)
        try {
            HttpClient(CIO) { engine { requestTimeout = 0 } }.use { http ->
                EndpointClient(http, { it }, timeouts).generate(endpoint, call, text)
            }
        } finally {
            server.stopSuspend(gracePeriodMillis = 0, timeoutMillis = 0)
        }
    }

    @Test
    fun `after its first line`() {
        val text = GeneratedText()
        val outcome = callSilent(lines = 1, call, StreamTimeouts(idleMs = SHORT_MS), text)
        expectThat(outcome.isErr).isTrue()
        expectThat(text.toString()).isEqualTo("obi")
    }

    @Test
    fun `before its first line`() {
        val outcome =
            callSilent(0, call.copy(remainingMs = SHORT_MS), StreamTimeouts(idleMs = LONG_MS), GeneratedText())
        expectThat(outcome.isErr).isTrue()
    }

    private companion object {
        const val SHORT_MS = 200L
        const val LONG_MS = 600_000L
    }
}
