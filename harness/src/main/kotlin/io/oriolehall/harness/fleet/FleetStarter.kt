package io.oriolehall.harness.fleet

import io.ktor.client.HttpClient
import io.oriolehall.harness.process.FreePorts
import io.oriolehall.harness.process.LaunchedProcess
import io.oriolehall.harness.process.ProcessLauncher
import io.oriolehall.harness.process.ProgramSpec
import io.oriolehall.model.AvailabilityZone
import io.oriolehall.model.ConfigObject
import io.oriolehall.model.Instance
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.StageKind
import io.oriolehall.model.WitnessRoster
import io.oriolehall.standins.faultproxy.Link
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withContext
import java.nio.file.Files
import java.nio.file.Path

/** Starts the processes of a fleet in the order in which they need each other. */
internal class FleetStarter(
    private val spec: FleetSpec,
    private val directory: Path,
    private val launcher: ProcessLauncher,
    private val http: HttpClient,
    private val onProgress: (String) -> Unit,
) {
    private val ports = FreePorts()
    private val starting = Semaphore(STARTED_AT_ONCE)

    suspend fun start(): Fleet {
        val platform = launchStandin("platform", listOf("platform") + spec.platformArguments)
        val platformControl = connect(checkNotNull(platform.ready.control))
        val proxy = if (spec.proxied) launchStandin("faultproxy", listOf("faultproxy")) else null
        val faults = proxy?.let { FaultControl(connect(checkNotNull(it.ready.control))) }
        onProgress("starting ${spec.endpoints.size} endpoints")
        val weights = spec.weightArguments?.let { launchStandin("weights", listOf("weights") + it) }
        val endpoints = allOf(spec.endpoints) { startEndpoint(it, weights?.ready?.address) }
        val tickets = TicketPublisher(platformControl)
        tickets.publish(firstTicket(endpoints), cause = "first state of the fleet")
        val planned = spec.entries.map { PlannedEntry(it, EntryPorts(ports.take(), ports.take(), ports.take())) }
        val platformHandle = PlatformControl(platformControl)
        platformHandle.publishInstances(planned.map { it.published })
        onProgress("starting ${planned.size} entry instances")
        val platformAddress = addressOf(platform)
        val entries = allOf(planned) { startEntry(it, planned, endpoints, platformAddress, faults) }
        val fleet = Fleet(
            spec, directory, launcher, http, platform, proxy, platformHandle, tickets, faults, entries, endpoints,
            weights?.let { WeightStoreControl(connect(checkNotNull(it.ready.control))) },
        )
        for (entry in entries) {
            awaitThat("${entry.spec.id} is ready", READY_TIMEOUT_MS) { entry.ready() }
            awaitThat("${entry.spec.id} witnesses new keys", READY_TIMEOUT_MS) { entry.status().vouchesForNewKeys }
        }
        return fleet
    }

    private class PlannedEntry(val spec: EntrySpec, val ports: EntryPorts) {
        val published = Instance(spec.id, spec.zone, ports.peers)
    }

    private suspend fun <T, R> allOf(items: List<T>, start: suspend (T) -> R): List<R> = coroutineScope {
        items.map { async { starting.withPermit { start(it) } } }.awaitAll()
    }

    private fun connect(address: String) = ControlHttp(http, address)

    private fun addressOf(process: LaunchedProcess) = checkNotNull(NetworkAddress.parse(process.ready.address))

    private suspend fun launchStandin(id: String, arguments: List<String>) =
        launch(ProgramSpec(id, STANDINS_MAIN, arguments, spec.endpointHeapMb, jvmOptions = spec.jvmOptions))

    private suspend fun launch(program: ProgramSpec) = withContext(Dispatchers.IO) { launcher.launch(program) }

    private suspend fun startEndpoint(endpoint: EndpointSpec, weights: String?): EndpointProcess {
        val address = ports.take()
        val arguments = listOf(
            "endpoint",
            "--id=${endpoint.id}",
            "--zone=${endpoint.zone}",
            "--kind=${endpoint.kind.name.lowercase()}",
            "--listen=$address",
            "--data-set=${spec.dataSet}",
            "--cold-limit=${endpoint.coldLimit}",
            "--warm-limit=${endpoint.warmLimit}",
        ) + loadsFrom(endpoint, weights) + (if (endpoint.fenced) listOf("--fenced") else emptyList()) +
            endpoint.arguments
        val program = ProgramSpec(
            endpoint.id.value,
            STANDINS_MAIN,
            arguments,
            spec.endpointHeapMb,
            jvmOptions = spec.jvmOptions,
        )
        return EndpointProcess(endpoint, address, launch(program), ::connect) { launcher.launch(program) }
    }

    private fun loadsFrom(endpoint: EndpointSpec, weights: String?): List<String> =
        if (weights == null || endpoint.kind != StageKind.GENERATE) emptyList() else listOf("--weights=$weights")

    private fun firstTicket(endpoints: List<EndpointProcess>): List<ConfigObject> =
        spec.zones.map { AvailabilityZone(it) } +
            spec.organisations.map { it.organisation } +
            spec.pipelines +
            endpoints.map { it.published } +
            spec.objects +
            listOfNotNull(defaultWitnesses())

    /** One name of each zone in turn, so that a zone cut off takes as few witnesses with it as possible. */
    private fun defaultWitnesses(): WitnessRoster? {
        if (spec.objects.any { it is WitnessRoster }) return null
        val inTurn = spec.entries.groupBy { it.zone }.values.flatMap { it.withIndex() }.sortedBy { it.index }
        return WitnessRoster(inTurn.map { it.value.id }.take(DEFAULT_WITNESSES))
    }

    private suspend fun startEntry(
        entry: PlannedEntry,
        all: List<PlannedEntry>,
        endpoints: List<EndpointProcess>,
        platform: NetworkAddress,
        faults: FaultControl?,
    ): EntryProcess {
        val translate = if (faults == null) emptyMap() else openLinks(entry, all, endpoints, platform, faults)
        val text = EntrySettingsText(entry.spec, entry.ports, platform, spec.settings, translate)
        val file = directory.resolve("${entry.spec.id}.ini")
        Files.writeString(file, text.render())
        val arguments = listOf("run", "--settings", file.toString())
        val program = ProgramSpec(
            entry.spec.id.value,
            CLI_MAIN,
            arguments,
            spec.entryHeapMb,
            jvmOptions = spec.jvmOptions,
        )
        return EntryProcess(entry.spec, entry.ports, file, launch(program), http) { launcher.launch(program) }
    }

    private suspend fun openLinks(
        entry: PlannedEntry,
        all: List<PlannedEntry>,
        endpoints: List<EndpointProcess>,
        platform: NetworkAddress,
        faults: FaultControl,
    ): Map<NetworkAddress, NetworkAddress> {
        val peers = all.filter { it !== entry }
            .map { Target(it.spec.id.value, it.spec.zone.value, it.ports.peers) }
        val served = endpoints.map { Target(it.spec.id.value, it.spec.zone.value, it.address) }
        val targets = peers + served + Target(FaultControl.PLATFORM_ID, "", platform)
        return targets.associate { it.address to openLink(entry, it, faults) }
    }

    /** The proxy takes the port itself: one that is picked here may be gone before the proxy listens. */
    private suspend fun openLink(entry: PlannedEntry, target: Target, faults: FaultControl): NetworkAddress {
        val link = Link(
            id = "${entry.spec.id}>${target.id}",
            target = target.address.toString(),
            sourceId = entry.spec.id.value,
            sourceZone = entry.spec.zone.value,
            targetId = target.id,
            targetZone = target.zone,
        )
        return checkNotNull(NetworkAddress.parse(faults.open(link).address))
    }

    private data class Target(val id: String, val zone: String, val address: NetworkAddress)

    private companion object {
        const val CLI_MAIN = "io.oriolehall.cli.MainKt"
        const val STANDINS_MAIN = "io.oriolehall.standins.StandinsKt"
        const val STARTED_AT_ONCE = 4
        const val DEFAULT_WITNESSES = 5
        const val READY_TIMEOUT_MS = 30_000L
    }
}
