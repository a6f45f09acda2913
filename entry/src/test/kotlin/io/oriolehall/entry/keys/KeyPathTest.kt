package io.oriolehall.entry.keys

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.basicAuth
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.oriolehall.entry.EntryAddresses
import io.oriolehall.entry.EntryInstance
import io.oriolehall.model.CallerHeaders
import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.InstanceList
import io.oriolehall.model.MintedToken
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.Organisation
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.Pipeline
import io.oriolehall.model.PipelineId
import io.oriolehall.model.PoolId
import io.oriolehall.model.PublishedTicket
import io.oriolehall.model.Stage
import io.oriolehall.model.StageCall
import io.oriolehall.model.StageKind
import io.oriolehall.model.StageResult
import io.oriolehall.model.StrictJson
import io.oriolehall.model.Ticket
import io.oriolehall.model.TicketPage
import io.oriolehall.model.WireJson
import io.oriolehall.model.WitnessRoster
import io.oriolehall.model.ZoneId
import io.oriolehall.model.settings.EntrySettings
import io.oriolehall.model.settings.InstanceSettings
import io.oriolehall.model.settings.KeySettings
import io.oriolehall.model.settings.ListenSettings
import io.oriolehall.model.settings.PlatformSettings
import io.oriolehall.model.settings.TokenSettings
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.net.ServerSocket
import java.security.MessageDigest
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import io.ktor.server.cio.CIO as ServerCIO

/** Keys through five instances in this process, with an endpoint and a platform in miniature. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class KeyPathTest {
    private val executions = ConcurrentHashMap<String, Int>()
    private val http = HttpClient(CIO)
    private val names = (1..5).map { InstanceId("entry-$it") }
    private val peers = names.associateWith { freeAddress() }
    private val instances = mutableListOf<EntryInstance>()
    private val addresses: List<EntryAddresses> = runBlocking { start() }

    @AfterAll
    fun `end the instances`() = runBlocking {
        instances.forEach { it.stop() }
        http.close()
    }

    @Test
    fun `one key through all instances at once runs once and all get its answer`() = runBlocking {
        repeat(20) { round ->
            for (key in listOf(newKey(), token(addresses[round % addresses.size]))) {
                val answers = coroutineScope { addresses.map { async { send(it, key) } }.awaitAll() }
                expectThat(answers).all { contains("event: end") }
                expectThat(executions[key]) isEqualTo 1
            }
        }
    }

    @Test
    fun `a key with another body or of another organisation is refused by every instance`() = runBlocking {
        for (key in listOf(newKey(), token(addresses[0]))) {
            send(addresses[0], key)
            for (address in addresses) {
                expectThat(send(address, key, body = "another")).contains("key-reused")
                expectThat(send(address, key, organisation = "other"))
                    .contains(if (key.startsWith("oh1.")) "bad-key" else "key-reused")
            }
            expectThat(executions[key]) isEqualTo 1
        }
    }

    @Test
    fun `a declined call closes the key for every instance`() = runBlocking {
        val key = newKey()
        expectThat(send(addresses[1], key, body = DECLINED)).contains("\"outcome\":\"not-run\"")
        for (address in addresses) expectThat(send(address, key, body = DECLINED)).contains("key-closed")
    }

    @Test
    fun `a request without a key or with a bad one is refused`() = runBlocking {
        expectThat(send(addresses[0], key = null)).contains("key-required")
        for (bad in listOf("17", "oh1.a.b", token(addresses[0]).reversed(), "x".repeat(3_000))) {
            expectThat(send(addresses[0], bad)).contains("bad-key")
        }
    }

    private suspend fun send(to: EntryAddresses, key: String?, body: String = "order", organisation: String = "shop") =
        http.post("http://${to.callers}/v1/pipelines/order") {
            basicAuth(organisation, SECRET)
            key?.let { header(CallerHeaders.IDEMPOTENCY_KEY, it) }
            setBody("""{"input":"$body"}""")
        }.bodyAsText()

    private suspend fun token(from: EntryAddresses): String {
        val text = http.post("http://${from.callers}/v1/tokens") { basicAuth("shop", SECRET) }.bodyAsText()
        return WireJson.decodeFromString(MintedToken.serializer(), text).token
    }

    private fun newKey(): String {
        val high = (System.currentTimeMillis() shl 16) or 0x7000L or Random.nextLong(0x1000)
        return UUID(high, Random.nextLong() ushr 2 or Long.MIN_VALUE).toString()
    }

    private suspend fun start(): List<EntryAddresses> {
        val endpoint = listen { post("/run") { run(call) } }
        val platform = listen { platform(TicketPage(1, listOf(PublishedTicket(1, ticket(endpoint))))) }
        val started = names.map { name ->
            EntryInstance(settings(name, platform)).also(instances::add).start()
        }
        withTimeout(30_000) {
            while (!send(started.random(), newKey()).contains("event: end")) delay(50)
            for (address in started) while (!send(address, newKey()).contains("event: end")) delay(50)
        }
        return started
    }

    private fun settings(name: InstanceId, platform: NetworkAddress) = EntrySettings(
        instance = InstanceSettings(name, ZoneId("z1")),
        listen = ListenSettings(NetworkAddress(HOST, 0), NetworkAddress(HOST, 0), peers.getValue(name)),
        platform = PlatformSettings(platform, platform),
        tokens = TokenSettings("only for this test, truly"),
        keys = KeySettings(clockToleranceMs = 100),
    )

    private suspend fun run(call: ApplicationCall) {
        val request = WireJson.decodeFromString(StageCall.serializer(), call.receiveText())
        if (request.input == DECLINED) return call.respondText("", status = HttpStatusCode.ServiceUnavailable)
        executions.merge(request.idempotencyKey.orEmpty(), 1, Int::plus)
        val result = StageResult(request.requestId, request.stage, request.attempt, "done")
        call.respondText(WireJson.encodeToString(StageResult.serializer(), result))
    }

    private fun Route.platform(first: TicketPage) {
        val none = TicketPage(1, emptyList())
        val list = InstanceList(1, peers.map { (name, address) -> Instance(name, ZoneId("z1"), address) })
        get("/v1/tickets") { call.respondPage(if (call.parameters["after"] == "0") first else none) }
        get("/v1/watch") {
            if (call.parameters["after"] != "0") delay(1_000)
            call.respondPage(if (call.parameters["after"] == "0") first else none)
        }
        get("/v1/instances") { call.respondText(WireJson.encodeToString(InstanceList.serializer(), list)) }
    }

    private suspend fun ApplicationCall.respondPage(page: TicketPage) =
        respondText(WireJson.encodeToString(TicketPage.serializer(), page))

    private fun ticket(endpoint: NetworkAddress): String {
        val pool = PoolId("stock")
        val objects = listOf(
            Organisation(OrganisationId("shop"), listOf(sha256(SECRET))),
            Organisation(OrganisationId("other"), listOf(sha256(SECRET))),
            Pipeline(PipelineId("order"), listOf(Stage("order", StageKind.CALL, pool, idempotent = false))),
            Endpoint(EndpointId("stock-1"), ZoneId("z1"), pool, endpoint, coldLimit = 16),
            WitnessRoster(names),
        )
        return StrictJson.encodeToString(Ticket.serializer(), Ticket(1, "operator", "test", objects))
    }

    private fun sha256(text: String) =
        MessageDigest.getInstance("SHA-256").digest(text.toByteArray()).joinToString("") { "%02x".format(it) }

    private suspend fun listen(routes: Route.() -> Unit): NetworkAddress {
        val server = embeddedServer(ServerCIO, port = 0, host = HOST) { routing(routes) }
        server.startSuspend(wait = false)
        return NetworkAddress(HOST, server.engine.resolvedConnectors().first().port)
    }

    private fun freeAddress() = ServerSocket(0).use { NetworkAddress(HOST, it.localPort) }

    private companion object {
        const val HOST = "127.0.0.1"
        const val SECRET = "open sesame"
        const val DECLINED = "declined"
    }
}
