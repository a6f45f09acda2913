package io.oriolehall.proofs.load

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.FleetBuilder
import io.oriolehall.harness.fleet.awaitThat
import io.oriolehall.harness.fleet.withFleet
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.StageKind
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class CrashingRequestProofTest {
    @Test
    fun `a request that ends each endpoint takes two at most and the requests beside it are answered`() =
        withFleet("crashing-request", { engines() }) { fleet ->
            awaitThat("an engine answers") { sendInnocent(fleet, 0) is CallOutcome.Whole }
            coroutineScope {
                val innocent = (1..INNOCENT).map { n -> async { sendInnocent(fleet, n) } }
                val guilty = async { (1..RESENDS).map { n -> sendCrashing(fleet, n) } }
                expectThat(innocent.awaitAll()).all { isA<CallOutcome.Whole>() }
                val last = guilty.await().last()
                expectThat(last).isA<CallOutcome.Refused>().get { problem.type }
                    .isEqualTo("urn:oriolehall:problem:quarantined")
            }
            val lost = fleet.endpoints.count { !it.process.alive }
            expectThat(lost).describedAs("endpoints lost").isLessThanOrEqualTo(2)
        }

    private suspend fun sendInnocent(fleet: Fleet, n: Int): CallOutcome =
        fleet.caller("authority", fleet.entries[n % fleet.entries.size])
            .send("summary", PipelineRequest("furisode $n", maxTokens = 8), deadlineMs = DEADLINE_MS)

    private suspend fun sendCrashing(fleet: Fleet, n: Int): CallOutcome =
        fleet.caller("authority", fleet.entries[n % fleet.entries.size])
            .send("summary", PipelineRequest(CRASHING, maxTokens = 8), deadlineMs = DEADLINE_MS)

    private fun FleetBuilder.engines() {
        for (zone in listOf("z1", "z2")) {
            zone(zone) {
                entries(2)
                repeat(3) {
                    endpoint(
                        id = "gen-$zone-$it",
                        pool = "engines",
                        kind = StageKind.GENERATE,
                        warmLimit = 8,
                        arguments = listOf("--service-ms=50", "--crash-on=$CRASHING", "--cold-ms=500"),
                    )
                }
            }
        }
        organisation("authority")
        pipeline("summary") { stage("generate", StageKind.GENERATE, "engines", expectedMs = 300) }
    }

    private companion object {
        const val CRASHING = "obi-of-doom"
        const val INNOCENT = 40
        const val RESENDS = 12
        const val DEADLINE_MS = 15_000L
    }
}
