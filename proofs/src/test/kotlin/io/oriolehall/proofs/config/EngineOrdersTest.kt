package io.oriolehall.proofs.config

import io.oriolehall.entry.orders.OrderPhase
import io.oriolehall.harness.fleet.EndpointProcess
import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.awaitThat
import io.oriolehall.harness.fleet.withFleet
import io.oriolehall.standins.faultproxy.Fault
import io.oriolehall.standins.faultproxy.FaultMatch
import io.oriolehall.standins.faultproxy.FaultMode
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

/** Engines follow the highest ticket, whoever orders them and however late an order arrives. */
class EngineOrdersTest {
    private fun link(from: EntryProcess, to: EndpointProcess) =
        FaultMatch(sourceId = from.spec.id.value, targetId = to.spec.id.value)

    @Test
    fun `new versions are loaded under traffic within the weight store's limit`() =
        withFleet("orders-loads", { orderZone() }) { fleet ->
            fleet.assign("v1")
            awaitServed("v1", fleet.endpoints)
            coroutineScope {
                val traffic = CallerTraffic(fleet, this, callers = 3, pipelines = listOf("summary")).start()
                delay(TRAFFIC_MS)
                val changedAtMs = System.currentTimeMillis()
                fleet.assign("v2")
                awaitServed("v2", fleet.endpoints)
                ProofReport.line("4 engines load v2 under traffic: ${System.currentTimeMillis() - changedAtMs} ms")
                val killed = fleet.ordererOf(fleet.endpoints.first())
                killed.restart()
                fleet.assign("v3")
                awaitServed("v3", fleet.endpoints)
                val records = traffic.stop()
                ProofReport.line("engines load v2 and v3 under traffic: ${records.summary()}")
                expectThat(records.filter { it.cutOff && it.entry != killed })
                    .describedAs("requests cut off at instances that were not killed")
                    .isEmpty()
            }
            val loads = fleet.weights.stats()
            ProofReport.line("weight store: ${loads.fetches}, at once ${loads.maxConcurrent}")
            expectThat(loads.maxConcurrent).describedAs("loads at once").isLessThanOrEqualTo(LOADS_AT_ONCE)
            for (engine in fleet.endpoints) {
                expectThat(engine.stats().callsWhileLoading).describedAs("calls while loading").isEqualTo(0)
            }
        }

    @Test
    fun `an order that arrives late from a paused orderer does not last`() =
        withFleet("orders-late", { orderZone() }) { fleet ->
            fleet.assign("v0")
            awaitServed("v0", fleet.endpoints)
            for (engine in fleet.endpoints.take(2)) {
                val paused = fleet.holdOrder(engine, "old")
                fleet.assign("new", listOf(engine))
                awaitServed("new", listOf(engine))
                val before = engine.stats()
                fleet.faults.heal()
                awaitThat("the late order has arrived at ${engine.spec.id}") {
                    val now = engine.stats()
                    now.ordersRefused > before.ordersRefused || now.ordersObeyed > before.ordersObeyed
                }
                val refused = engine.stats().ordersRefused > before.ordersRefused
                expectThat(refused).describedAs("refused by ${engine.spec.id}").isEqualTo(engine.spec.fenced)
                val arrivedAtMs = System.currentTimeMillis()
                awaitServed("new", listOf(engine), CORRECTION_MS)
                ProofReport.line(
                    "late order at an engine ${if (engine.spec.fenced) "with" else "without"} fencing: " +
                        "in the state of the highest ticket ${System.currentTimeMillis() - arrivedAtMs} ms later",
                )
                paused.process.resume()
                val ticket = fleet.entries.first { it != paused }.status().highestTicket
                awaitThat("${paused.spec.id} has woken") { (paused.statusOrNull()?.highestTicket ?: 0) >= ticket }
                engine.staysAt("new")
            }
            expectThat(fleet.weights.stats().maxConcurrent).isLessThanOrEqualTo(LOADS_AT_ONCE)
        }

    /**
     * Lets the orderer of [engine] send an order for [version], keeps the order on its way and pauses the orderer.
     */
    private suspend fun Fleet.holdOrder(engine: EndpointProcess, version: String): EntryProcess {
        val orderer = ordererOf(engine)
        awaitPhase(orderer, engine, OrderPhase.IN_FORCE)
        val before = engine.stats()
        faults.add(Fault(link(orderer, engine), FaultMode.DELAY, ms = ORDER_DELAY_MS))
        assign(version, listOf(engine))
        awaitPhase(orderer, engine, OrderPhase.SENT)
        faults.add(Fault(link(orderer, engine), FaultMode.CUT))
        orderer.process.pause()
        expectThat(engine.stats().ordersObeyed).describedAs("orders obeyed").isEqualTo(before.ordersObeyed)
        return orderer
    }

    /** The version does not change for some rounds of the orderers' looks at the engine. */
    private suspend fun EndpointProcess.staysAt(version: String) {
        repeat(STABLE_LOOKS) {
            expectThat(serves(version)).describedAs("${spec.id} serves $version").isTrue()
            delay(LOOK_MS)
        }
    }

    private companion object {
        const val TRAFFIC_MS = 3_000L
        const val ORDER_DELAY_MS = 250L

        /** The load of the late order, a look, a permit, the drain and the load of the corrected state. */
        const val CORRECTION_MS = 25_000L
        const val STABLE_LOOKS = 20
        const val LOOK_MS = 200L
    }
}
