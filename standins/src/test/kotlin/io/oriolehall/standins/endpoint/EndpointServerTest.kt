package io.oriolehall.standins.endpoint

import io.oriolehall.model.EndpointId
import io.oriolehall.model.EngineOrder
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.RequestId
import io.oriolehall.model.StageCall
import io.oriolehall.model.StageKind
import io.oriolehall.model.StreamLine
import io.oriolehall.model.ZoneId
import io.oriolehall.standins.compute.sha256Hex
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.io.IOException

@Timeout(20)
class EndpointServerTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    @AfterEach
    fun stop() = scope.cancel()

    @Test
    fun `a plain service counts each execution of a key`(): Unit = runBlocking {
        val service = endpoint(StageKind.CALL)
        repeat(2) { expectThat(service.run(call("r"))).isA<CallOutcome.Answered>() }
        expectThat(service.stats().executions).isEqualTo(mapOf("r" to 2))
        expectThat(service.stats().executionsByKey).isEqualTo(mapOf("key" to 2))
    }

    @Test
    fun `a call declined before it runs is not counted as run`(): Unit = runBlocking {
        val service = endpoint(StageKind.CALL).apply { behave(Behaviour(failBefore = 1)) }
        expectThat(service.run(call("r"))).isA<CallOutcome.Declined>()
        expectThat(service.stats().executions).isEqualTo(emptyMap())
    }

    @Test
    fun `a call that fails after it ran is counted`(): Unit = runBlocking {
        val service = endpoint(StageKind.CALL).apply { behave(Behaviour(failAfter = 1)) }
        expectThat(service.run(call("r"))).isA<CallOutcome.Failed>()
        expectThat(service.stats().executions).isEqualTo(mapOf("r" to 1))
    }

    @Test
    fun `more calls than a cold endpoint bears count as overload`(): Unit = runBlocking {
        val service = endpoint(StageKind.ENCODE) { copy(coldMs = 60_000, serviceMs = 50) }
        List(4) { async { service.run(call("r$it")) } }.awaitAll()
        expectThat(service.stats().overloads).isGreaterThan(0)
        expectThat(service.stats().maxConcurrency).isGreaterThan(2)
    }

    @Test
    fun `a stream can be read again from any offset and its end has the digest of the whole`(): Unit = runBlocking {
        val engine = endpoint(StageKind.GENERATE)
        val whole = stream(engine, "r").follow(0).toList()
        val text = whole.joinToString("", transform = StreamLine::text)
        expectThat(whole.last().end?.sha256).isEqualTo(sha256Hex(text))
        val rest = engine.streams.find("r.1")!!.follow(25).toList()
        expectThat(rest.first().offset).isEqualTo(25)
        expectThat(rest.joinToString("", transform = StreamLine::text)).isEqualTo(text.substring(25))
    }

    @Test
    fun `a cancelled stream ends for its readers and is forgotten`(): Unit = runBlocking {
        val engine = endpoint(StageKind.GENERATE) { copy(serviceMs = 60_000) }
        val stream = stream(engine, "r")
        engine.streams.cancel("r.1")
        expectThrows<IOException> { stream.follow(0).toList() }
        expectThat(engine.streams.find("r.1")).isNull()
        expectThat(engine.stats().cancels).isEqualTo(1)
    }

    @Test
    fun `a fenced engine refuses an old order and another one obeys it`(): Unit = runBlocking {
        for (fenced in listOf(true, false)) {
            val engine = endpoint(StageKind.GENERATE) { copy(fenced = fenced, orderMs = 0) }
            expectThat(engine.order(EngineOrder(5, "oak", "2")).accepted).isTrue()
            expectThat(engine.order(EngineOrder(4, "oak", "1")).accepted).isEqualTo(!fenced)
            expectThat(engine.loadReport().version).isEqualTo(if (fenced) "2" else "1")
        }
    }

    @Test
    fun `an order makes the engine cold`(): Unit = runBlocking {
        val engine = endpoint(StageKind.GENERATE) { copy(coldMs = 60_000, orderMs = 0) }
        engine.order(EngineOrder(1, "oak", "1"))
        expectThat(engine.loadReport().warm).isFalse()
    }

    private fun endpoint(kind: StageKind, change: EndpointOptions.() -> EndpointOptions = { this }): EndpointServer {
        val options = EndpointOptions(
            id = EndpointId("e"),
            zone = ZoneId("a"),
            kind = kind,
            serviceMs = 1,
            coldMs = 0,
            tokensPerSecond = 2_000.0,
        )
        return EndpointServer(options.change(), scope)
    }

    private suspend fun stream(engine: EndpointServer, id: String): GeneratedStream =
        (engine.run(call(id)) as CallOutcome.Streaming).stream

    private fun call(id: String) = StageCall(
        requestId = RequestId(id),
        stage = "stage",
        attempt = 1,
        organisation = OrganisationId("o"),
        input = "How is a beech pin oiled?",
        query = "",
        remainingMs = 4_000,
        maxTokens = 20,
        idempotencyKey = "key",
    )
}
