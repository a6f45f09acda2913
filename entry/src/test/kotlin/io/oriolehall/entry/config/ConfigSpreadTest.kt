package io.oriolehall.entry.config

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.oriolehall.entry.EntryAddresses
import io.oriolehall.entry.EntryInstance
import io.oriolehall.entry.InstanceStatus
import io.oriolehall.model.AvailabilityZone
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ServiceState
import io.oriolehall.model.Ticket
import io.oriolehall.model.WireJson
import io.oriolehall.model.ZoneId
import io.oriolehall.model.settings.EntrySettings
import io.oriolehall.model.settings.InstanceSettings
import io.oriolehall.model.settings.ListenSettings
import io.oriolehall.model.settings.PlatformSettings
import io.oriolehall.model.settings.StopSettings
import io.oriolehall.model.settings.TokenSettings
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

class ConfigSpreadTest {
    private class Started(val id: InstanceId, val instance: EntryInstance, val addresses: EntryAddresses)

    private val http = HttpClient(CIO)
    private val platforms = mutableListOf<FakePlatform>()
    private val running = mutableListOf<Started>()

    @AfterEach
    fun close() = runBlocking {
        running.forEach { it.instance.stop() }
        platforms.forEach(FakePlatform::close)
        http.close()
    }

    private fun ticket(number: Long, state: ServiceState = ServiceState.OUT) =
        Ticket(number, "ana", "test", listOf(AvailabilityZone(ZoneId("a"), state)))

    private fun platform(vararg tickets: Ticket) = FakePlatform().also {
        it.tickets.value = tickets.toList()
        it.instances = running.map { other -> Instance(other.id, ZoneId("a"), other.addresses.peers) }
        platforms += it
    }

    private suspend fun start(name: String, platform: FakePlatform): Started {
        val service = platform.start()
        val free = NetworkAddress("127.0.0.1", 0)
        val settings = EntrySettings(
            instance = InstanceSettings(InstanceId(name), ZoneId("a")),
            listen = ListenSettings(free, free, free),
            platform = PlatformSettings(service, service),
            tokens = TokenSettings("0123456789abcdef"),
            stop = StopSettings(keepServingMs = 0, waitMs = 0),
        )
        val instance = EntryInstance(settings)
        return Started(InstanceId(name), instance, instance.start()).also { running += it }
    }

    private suspend fun Started.status() = WireJson.decodeFromString(
        InstanceStatus.serializer(),
        http.get("http://${addresses.operators}/status").bodyAsText(),
    )

    private suspend fun Started.await(condition: (InstanceStatus) -> Boolean): InstanceStatus = withTimeout(15_000) {
        var status = status()
        while (!condition(status)) {
            delay(20)
            status = status()
        }
        status
    }

    @Test
    fun `an instance whose platform is down takes a ticket from another one`() = runBlocking<Unit> {
        val first = start("i1", platform(ticket(1)))
        first.await { it.ready }
        val second = start("i2", platform(ticket(1)))
        second.await { it.ready }
        platforms[1].down = true
        platforms[0].tickets.value += ticket(2, ServiceState.IN_SERVICE)
        second.await { it.highestTicket == 2L }
    }

    @Test
    fun `a fresh instance that reads a stale platform has the newest ticket before it is ready`() = runBlocking<Unit> {
        start("i1", platform(ticket(1), ticket(2))).await { it.ready }
        val fresh = start("i2", platform(ticket(1)))
        expectThat(fresh.await { it.ready }.highestTicket).isEqualTo(2)
    }

    @Test
    fun `a fresh instance without the platform is ready by a peer alone`() = runBlocking<Unit> {
        start("i1", platform(ticket(1))).await { it.ready }
        val fresh = start("i2", platform().also { it.down = true })
        expectThat(fresh.await { it.ready }.highestTicket).isEqualTo(1)
    }

    @Test
    fun `an instance that nobody answers is not ready and says why`() = runBlocking<Unit> {
        val alone = start("i1", platform().also { it.down = true })
        val status = alone.await { it.notReadyBecause.orEmpty().startsWith("neither") }
        expectThat(status.ready).isEqualTo(false)
    }

    @Test
    fun `a wrong ticket is turned away with its remedy and changes nothing`() = runBlocking<Unit> {
        val first = start("i1", platform(ticket(1), ticket(0)))
        val status = first.await { it.ready }
        expectThat(status.rejectedTickets.single().remedy).isEqualTo(
            "field number is not valid: use one in 1..1000000000000",
        )
    }

    @Test
    fun `an instance that stops is known to have left`() = runBlocking<Unit> {
        val first = start("i1", platform(ticket(1)))
        first.await { it.ready }
        val second = start("i2", platform(ticket(1)))
        first.await { status -> status.peers.any { it.id == second.id } }
        running -= second
        second.instance.stop()
        val left = first.await { status -> status.peers.single().state.name == "LEFT" }
        expectThat(left.peers.single().lag).isNotNull()
    }
}
