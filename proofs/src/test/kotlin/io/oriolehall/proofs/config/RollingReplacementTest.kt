package io.oriolehall.proofs.config

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.awaitThat
import io.oriolehall.harness.fleet.withFleet
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.ServiceState
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull

class RollingReplacementTest {
    private suspend fun EntryProcess.replaceGracefully() {
        process.terminate()
        val exit = withContext(Dispatchers.IO) { process.awaitExit(STOP_LIMIT_MS) }
        expectThat(exit).describedAs("exit of ${spec.id}").isNotNull()
        restart()
        awaitThat("${spec.id} is ready") { ready() }
    }

    @Test
    fun `every instance is replaced under load and no request is cut off`() =
        withFleet("rolling", { threeZones() }) { fleet ->
            val ticket = fleet.tickets.publish(zoneState("z3", ServiceState.OUT))
            awaitTicket(ticket, fleet.entries)
            coroutineScope {
                val traffic = CallerTraffic(fleet, this).start()
                delay(WARM_UP_MS)
                fleet.platform.showUntil(revision = 1)
                for (entry in fleet.entries) {
                    entry.replaceGracefully()
                    expectThat(entry.status().highestTicket).isEqualTo(ticket.number)
                }
                val records = traffic.stop()
                ProofReport.line("rolling replacement of ${fleet.entries.size} instances: ${records.summary()}")
                expectThat(records.filter { it.cutOff }).describedAs("requests cut off").isEmpty()
                expectThat(records.filter { it.pipeline != "order" }.wholeShare()).isGreaterThan(0.99)
            }
            expectThat(fleet.executionsByKey().values).all { isLessThanOrEqualTo(1) }
        }

    @Test
    fun `an instance that was told to stop serves callers that have not noticed yet`() =
        withFleet("stopping", { threeZones() }) { fleet ->
            val stopping = fleet.entries.first()
            stopping.process.terminate()
            awaitThat("${stopping.spec.id} says that it stops") { !stopping.status().ready }
            val outcome = fleet.caller("authority", stopping).send("lookup", PipelineRequest("cranes"))
            expectThat(outcome).isA<CallOutcome.Whole>()
        }

    private companion object {
        const val STOP_LIMIT_MS = 40_000L
        const val WARM_UP_MS = 2_000L
    }
}
