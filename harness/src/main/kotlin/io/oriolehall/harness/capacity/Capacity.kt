package io.oriolehall.harness.capacity

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path
import java.time.LocalDate
import java.util.Locale

/** Measures how the needs of each mechanism grow and writes the raw figures; docs/CAPACITY.md reads them. */
fun main(args: Array<String>) = CapacityCommand().main(args)

private class CapacityCommand : CliktCommand(name = "capacity") {
    private val output by option(help = "file for the raw figures").path()
        .default(Path.of("target", "capacity", "slopes.json"))
    private val commit by option(help = "commit that is measured", envvar = "ORIOLEHALL_COMMIT").default("unknown")

    override fun help(context: Context) =
        "Measures the decision code of many instances in one process, with real messages, at several sizes."

    override fun run() {
        val series = PROBES.flatMap { probe ->
            echo("measuring ${probe.mechanism} by ${probe.variable}")
            measure(probe.mechanism, probe.variable, probe.sizes, probe.measure).onEach { echo(line(it)) }
        }
        val run = CapacityRun(
            command = "bin/capacity",
            commit = commit,
            date = LocalDate.now().toString(),
            java = System.getProperty("java.version"),
            processors = Runtime.getRuntime().availableProcessors(),
            series = series,
        )
        Files.createDirectories(output.toAbsolutePath().parent)
        Files.writeString(output, Json { prettyPrint = true }.encodeToString(CapacityRun.serializer(), run) + "\n")
        echo("raw figures are in $output")
    }

    private fun line(series: Series): String {
        val points = series.points.joinToString { "${it.size}: ${format(it.value)}" }
        val fit = series.fit
        return "  ${series.mechanism}, ${series.quantity} (${series.unit}): $points; " +
            "line ${format(fit.intercept)} + ${format(fit.slope)} x, residual ${format(PERCENT * fit.residual)} %"
    }

    private fun format(value: Double) = String.format(Locale.ROOT, "%.4g", value)

    private class Probe(
        val mechanism: String,
        val variable: String,
        val sizes: List<Int>,
        val measure: (Int) -> List<Quantity>,
    )

    private companion object {
        const val PERCENT = 100.0
        const val ZONE_INSTANCES = 44
        const val ZONE_ENDPOINTS = 89

        val PROBES = listOf(
            Probe("membership, nothing new", "instances", listOf(16, 64, 160, 350)) {
                MembershipProbe(it, quiet = true).measure()
            },
            Probe("membership, messages full", "instances", listOf(16, 64, 160, 350)) {
                MembershipProbe(it, quiet = false).measure()
            },
            Probe("tickets", "objects", listOf(200, 500, 1_000, 2_500)) { TicketProbe(it).measure() },
            Probe("credits", "endpoints of the zone", listOf(10, 30, 60, 89)) {
                CreditProbe(ZONE_INSTANCES, it).measure()
            },
            Probe("credits", "instances of the zone", listOf(8, 16, 32, 44)) {
                CreditProbe(it, ZONE_ENDPOINTS).measure()
            },
            Probe("credits, all endpoints each 250 ms", "endpoints of the zone", listOf(10, 30, 60, 89)) {
                CreditProbe(ZONE_INSTANCES, it, subsetSize = it, CreditProbe.EACH_TICK).measure()
            },
            Probe("credits, all endpoints each 250 ms", "instances of the zone", listOf(8, 16, 32, 44)) {
                CreditProbe(it, ZONE_ENDPOINTS, subsetSize = ZONE_ENDPOINTS, CreditProbe.EACH_TICK).measure()
            },
            Probe("audit trail", "records", listOf(250, 500, 1_000, 2_000)) { HistoryProbes.audit(it) },
            Probe("request history", "records", listOf(500, 1_000, 2_500, 5_000)) { HistoryProbes.requests(it) },
            Probe("quarantine", "fingerprints", listOf(1_000, 2_500, 5_000, 10_000)) { HistoryProbes.quarantine(it) },
        )
    }
}
