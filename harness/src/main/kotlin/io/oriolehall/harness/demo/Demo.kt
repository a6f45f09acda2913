package io.oriolehall.harness.demo

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.process.MachineLock
import io.oriolehall.model.AvailabilityZone
import io.oriolehall.model.ServiceState
import io.oriolehall.model.ZoneId
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.nio.file.Path
import kotlin.random.Random

/** Runs a deployment with real requests and reports what came of them. */
fun main(args: Array<String>) = DemoCommand().main(args)

private class DemoCommand : CliktCommand(name = "demo") {
    private val deployment by option(help = "which deployment").enum<Deployment> { it.name.lowercase() }
        .default(Deployment.AUTHORITY)
    private val seconds by option(help = "how long requests are sent, seconds").int().default(DEFAULT_SECONDS)
    private val rate by option(help = "requests per second").int().default(DEFAULT_RATE)
    private val keep by option(help = "seconds to leave the fleet up afterwards").int().default(0)
    private val seed by option(help = "seed of the requests' choice").long().default(1)

    override fun help(context: Context) =
        "Runs a deployment as separate processes, sends it requests, and takes a zone out of service meanwhile."

    override fun run() {
        val good = MachineLock.take().use { runBlocking { demo() } }
        if (!good) throw ProgramResult(1)
    }

    private suspend fun demo(): Boolean {
        val fleet = Fleet.start(deployment.fleet(), Output) { echo(it) }
        return fleet.use {
            AddressBook.of(deployment, it).write(Addresses)
            echo("${it.entries.size} entry instances are ready; addresses are in $Addresses")
            val report = exercise(it)
            echo(report.render())
            keepUp()
            report.good
        }
    }

    private suspend fun exercise(fleet: Fleet): DemoReport {
        val traffic = DemoTraffic(fleet, deployment, Random(seed))
        echo("warming up")
        val warmUp = traffic.warmUp()
        val calls = traffic.run(rate, seconds) { announce(fleet, it) }
        val records = calls.mapNotNull { call ->
            val whole = call.outcome as? CallOutcome.Whole
            whole?.let { fleet.entry(it.instance.value).explain(it.requestId) }
        }
        return DemoReport(calls, warmUp, records.distinctBy { it.requestId }, fleet.executionsByKey())
    }

    private suspend fun announce(fleet: Fleet, second: Int) {
        when (second) {
            seconds / PHASES -> setZone(fleet, ServiceState.OUT)
            2 * seconds / PHASES -> setZone(fleet, ServiceState.IN_SERVICE)
        }
        if (second % PROGRESS_SECONDS == 0) echo("second $second of $seconds, $rate requests a second")
    }

    private suspend fun setZone(fleet: Fleet, state: ServiceState) {
        val ticket = fleet.tickets.publish(AvailabilityZone(MovedZone, state), cause = "demo")
        echo("ticket ${ticket.number}: zone $MovedZone is ${state.name.lowercase().replace('_', ' ')}")
    }

    private suspend fun keepUp() {
        if (keep == 0) return
        echo("the fleet stays up for $keep s; end it earlier with Ctrl-C")
        delay(keep * MS_PER_SECOND)
    }

    private companion object {
        const val DEFAULT_SECONDS = 18
        const val DEFAULT_RATE = 12
        const val PHASES = 3
        const val PROGRESS_SECONDS = 3
        const val MS_PER_SECOND = 1_000L
        val MovedZone = ZoneId("z2")
        val Output: Path = Path.of("target", "demo")
        val Addresses: Path = Output.resolve("addresses.json")
    }
}
