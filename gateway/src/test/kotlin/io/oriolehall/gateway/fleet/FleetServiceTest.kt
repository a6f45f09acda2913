package io.oriolehall.gateway.fleet

import io.ktor.network.selector.SelectorManager
import io.oriolehall.gateway.feed.PublishedState
import io.oriolehall.gateway.feed.ReadingPace
import io.oriolehall.model.Incarnation
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.policy.membership.MemberRecord
import io.oriolehall.policy.membership.MembershipSettings
import io.oriolehall.runtime.CoroutineTimerService
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket

/** Runs a fleet service on the loopback interface among members that answer and members that are silent. */
class FleetServiceTest {
    private val log = EventLog { _, _ -> }

    @OptIn(ExperimentalCoroutinesApi::class)
    private val control = Dispatchers.Default.limitedParallelism(1)
    private val scope = CoroutineScope(control + SupervisorJob())
    private val timers = CoroutineTimerService(scope, log)
    private val selector = SelectorManager(Dispatchers.IO)
    private val silentSockets = List(3) { ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1")) }

    @AfterEach
    fun end() {
        scope.cancel()
        selector.close()
        silentSockets.forEach(ServerSocket::close)
    }

    private fun record(name: String, zone: String, address: NetworkAddress) =
        MemberRecord(Instance(InstanceId(name), ZoneId(zone), address), Incarnation(1, 1), epoch = 1)

    /** Starts a member that answers probes and knows [others]. Returns its address. */
    private suspend fun answeringMember(name: String, zone: String, others: () -> List<MemberRecord>): NetworkAddress {
        val server = PeerServer(selector, scope, log)
        lateinit var own: MemberRecord
        server.answer(FleetChannels.PROBE) { FleetGossip(listOf(own) + others(), 0, 0, -1) }
        server.answer(FleetChannels.RECORDS) { FleetRecords(listOf(own) + others()) }
        val address = server.start(NetworkAddress("127.0.0.1", 0))
        own = record(name, zone, address)
        return address
    }

    private fun fleetService(seed: NetworkAddress) = FleetService(
        self = Instance(InstanceId("a1"), ZoneId("a"), NetworkAddress("127.0.0.1", 1)),
        incarnation = Incarnation(2, 2),
        seeds = listOf(seed),
        client = PeerClient(selector, scope),
        state = PublishedState(timers, log),
        timers = timers,
        scope = scope,
        control = control,
        log = log,
        pace = ReadingPace.within(configApplyMs = 2_000, keyRevocationMs = null),
        settings = MembershipSettings(probePeriodMs = 100, probeTimeoutMs = 100, suspicionMs = 60_000),
    )

    @Test
    fun `a zone is unreachable when its instances are silent here, and the others are not`() = runBlocking<Unit> {
        val silent = silentSockets.mapIndexed { i, socket ->
            record("b$i", "b", NetworkAddress("127.0.0.1", socket.localPort))
        }
        val inZoneC = answeringMember("c1", "c") { emptyList() }
        val seed = answeringMember("a2", "a") { silent + record("c1", "c", inZoneC) }
        val fleet = fleetService(seed)
        fleet.start(PeerServer(selector, scope, log))
        withTimeout(10_000) { while (fleet.unreachableZones.isEmpty()) delay(20) }
        expectThat(fleet.unreachableZones).isEqualTo(setOf(ZoneId("b")))
    }

    /** After a kill, the machine refuses connections at once: its zone can be reached. */
    @Test
    fun `a zone whose processes have ended is not unreachable`() = runBlocking<Unit> {
        silentSockets.forEach(ServerSocket::close)
        val ended = silentSockets.mapIndexed { i, socket ->
            record("b$i", "b", NetworkAddress("127.0.0.1", socket.localPort))
        }
        val fleet = fleetService(answeringMember("a2", "a") { ended })
        fleet.start(PeerServer(selector, scope, log))
        withTimeout(10_000) { while (fleet.view.members.size < 5) delay(20) }
        delay(1_000)
        expectThat(fleet.unreachableZones).isEqualTo(emptySet())
    }

    private companion object {
        const val BACKLOG = 50
    }
}
