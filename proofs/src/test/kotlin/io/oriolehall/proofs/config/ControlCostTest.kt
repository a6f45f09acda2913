package io.oriolehall.proofs.config

import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.FleetBuilder
import io.oriolehall.harness.fleet.withFleet
import io.oriolehall.model.StageKind
import kotlinx.coroutines.delay
import org.junit.jupiter.api.condition.EnabledIfSystemProperty
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isLessThan
import java.nio.file.Files
import java.nio.file.Path

/** What an idle instance spends on control, by the size of the fleet. Run with `-Dmeasure=control`. */
@EnabledIfSystemProperty(named = "measure", matches = "control")
class ControlCostTest {
    private class Sample(val bytes: Double, val cpuTicks: Long)

    @ParameterizedTest
    @ValueSource(ints = [8, 16, 32])
    fun `control traffic of an instance stays under its budget`(instances: Int) =
        withFleet("control-$instances", { idle(instances) }) { fleet ->
            delay(SETTLE_MS)
            val before = fleet.entries.map { sample(it) }
            delay(WINDOW_MS)
            val after = fleet.entries.map { sample(it) }
            val seconds = WINDOW_MS / 1_000.0
            val bytes = before.zip(after) { a, b -> (b.bytes - a.bytes) / seconds }.average()
            val core = before.zip(after) { a, b -> (b.cpuTicks - a.cpuTicks) / TICKS_PER_SECOND / seconds }.average()
            ProofReport.line("control at $instances instances: %.0f B/s, %.2f %% of a core".format(bytes, core * 100))
            expectThat(bytes).isLessThan(BUDGET_BYTES_PER_SECOND)
        }

    private fun FleetBuilder.idle(instances: Int) {
        for (zone in 1..ZONES) {
            zone("z$zone") { entries(instances / ZONES) }
        }
        zone("z0") { endpoint("ret", "retrievers", StageKind.RETRIEVE) }
        organisation("authority")
        pipeline("lookup") { stage("retrieve", StageKind.RETRIEVE, "retrievers") }
    }

    /** Bytes of frames sent and received, and processor time, since the process started. */
    private suspend fun sample(entry: EntryProcess): Sample {
        val bytes = entry.operators("/metrics").lineSequence()
            .filter { it.startsWith("oriolehall_peer_bytes_total") }
            .sumOf { it.substringAfterLast(' ').toDouble() }
        val stat = Files.readString(
            Path.of("/proc/${entry.process.pid}/stat"),
        ).substringAfterLast(')').trim().split(' ')
        return Sample(bytes, stat[USER_TICKS].toLong() + stat[SYSTEM_TICKS].toLong())
    }

    private companion object {
        const val ZONES = 4
        const val SETTLE_MS = 10_000L
        const val WINDOW_MS = 20_000L
        const val BUDGET_BYTES_PER_SECOND = 14_000.0
        const val TICKS_PER_SECOND = 100.0
        const val USER_TICKS = 11
        const val SYSTEM_TICKS = 12
    }
}
