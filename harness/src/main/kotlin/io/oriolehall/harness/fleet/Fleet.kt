package io.oriolehall.harness.fleet

import io.ktor.client.HttpClient
import io.oriolehall.cli.client.CallerClient
import io.oriolehall.cli.client.CallerCredentials
import io.oriolehall.cli.client.callerHttp
import io.oriolehall.harness.process.LaunchedProcess
import io.oriolehall.harness.process.MachineLock
import io.oriolehall.harness.process.ProcessLauncher
import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import io.oriolehall.model.Pipeline
import kotlinx.coroutines.runBlocking
import java.nio.file.Files
import java.nio.file.Path

/**
 * A running fleet of real processes: the platform, the endpoints, the entry instances and, when wanted, the fault
 * proxy between them. Closing it ends them all.
 */
class Fleet internal constructor(
    val spec: FleetSpec,
    /** Where settings files and the processes' output are. */
    val directory: Path,
    private val launcher: ProcessLauncher,
    private val http: HttpClient,
    val platformProcess: LaunchedProcess,
    val proxyProcess: LaunchedProcess?,
    val platform: PlatformControl,
    val tickets: TicketPublisher,
    private val faultControl: FaultControl?,
    val entries: List<EntryProcess>,
    val endpoints: List<EndpointProcess>,
    private val weightStore: WeightStoreControl?,
) : AutoCloseable {
    /** Control of the fault proxy; only a proxied fleet has one. */
    val faults: FaultControl get() = checkNotNull(faultControl) { "set proxied = true to cause network faults" }

    /** The weight store; only a fleet with `weightArguments` has one. */
    val weights: WeightStoreControl get() = checkNotNull(weightStore) { "set weightArguments to have a weight store" }

    fun entry(id: String): EntryProcess = entries.first { it.spec.id == InstanceId(id) }

    fun endpoint(id: String): EndpointProcess = endpoints.first { it.spec.id == EndpointId(id) }

    fun pipeline(id: String): Pipeline = spec.pipelines.first { it.id.value == id }

    /** A caller of [organisation] at [entry]. */
    fun caller(organisation: String, entry: EntryProcess): CallerClient {
        val secret = spec.organisations.first { it.organisation.id.value == organisation }.secret
        return CallerClient(http, entry.ports.callers, CallerCredentials(organisation, secret))
    }

    /** How often each idempotency key ran, summed over the endpoints that run now. */
    suspend fun executionsByKey(): Map<String, Int> = endpoints
        .filter { it.process.alive }
        .flatMap { it.stats().executionsByKey.entries }
        .groupingBy { it.key }
        .fold(0) { sum, entry -> sum + entry.value }

    override fun close() {
        launcher.close()
        http.close()
    }

    companion object {
        private val Output: Path = Path.of("target", "fleets")

        /** Starts the fleet that [spec] describes and waits until every entry instance is ready. */
        suspend fun start(
            spec: FleetSpec,
            directory: Path = Output.resolve(spec.name),
            onProgress: (String) -> Unit = {},
        ): Fleet {
            Files.createDirectories(directory)
            val launcher = ProcessLauncher(directory)
            val http = callerHttp()
            return try {
                FleetStarter(spec, directory, launcher, http, onProgress).start()
            } catch (e: Throwable) {
                launcher.close()
                http.close()
                throw e
            }
        }
    }
}

/**
 * Runs [test] against a fleet and ends it, also when the test fails. Holds the machine lock meanwhile.
 *
 *     withFleet("path", { zone("z1") { entries(2) } }) { fleet -> ... }
 */
fun withFleet(name: String, describe: FleetBuilder.() -> Unit, test: suspend (Fleet) -> Unit) {
    MachineLock.take().use {
        runBlocking {
            Fleet.start(fleetSpec(name, describe)).use { test(it) }
        }
    }
}
