package io.oriolehall.proofs.config

import io.oriolehall.entry.orders.OrderPhase
import io.oriolehall.entry.orders.OrderStatus
import io.oriolehall.harness.fleet.EndpointProcess
import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.FleetBuilder
import io.oriolehall.harness.fleet.awaitThat
import io.oriolehall.model.EngineAssignment
import io.oriolehall.model.StageKind
import io.oriolehall.model.Ticket

/** Loads at once that the weight store of an order fleet bears. */
internal const val LOADS_AT_ONCE = 2

/** One zone with three instances and four engines, two of each kind, which load from one weight store. */
internal fun FleetBuilder.orderZone() {
    proxied = true
    weightArguments = listOf("--bytes-per-second=2000000")
    zone("z1") {
        entries(3)
        for (number in 1..4) {
            endpoint(
                id = "gen-$number",
                pool = "engines",
                kind = StageKind.GENERATE,
                fenced = number % 2 == 0,
                arguments = listOf("--tokens-per-second=100", "--cold-ms=1000"),
            )
        }
    }
    organisation("authority")
    pipeline("summary") { stage("generate", StageKind.GENERATE, "engines", expectedMs = 300) }
    setting("orders", "loads-at-once", "$LOADS_AT_ONCE")
    setting("orders", "longest-load", "2s")
}

/** Publishes that [engines] serve [version] of the model. */
internal suspend fun Fleet.assign(version: String, engines: List<EndpointProcess> = endpoints): Ticket =
    tickets.publish(engines.map { EngineAssignment(it.spec.id, "oak", version) }, cause = "test")

internal suspend fun EndpointProcess.serves(version: String): Boolean =
    load().let { it.version == version && !it.ordering }

/** Waits until [engines] serve [version]. */
internal suspend fun awaitServed(version: String, engines: List<EndpointProcess>, timeoutMs: Long = 60_000) {
    for (engine in engines) {
        awaitThat("${engine.spec.id} serves $version", timeoutMs) { engine.serves(version) }
    }
}

/** What [entry] says of [engine] as its orderer; null when it does not order it. */
internal suspend fun orderStatus(entry: EntryProcess, engine: EndpointProcess): OrderStatus? =
    entry.statusOrNull()?.engines?.find { it.endpoint == engine.spec.id }

/** The instance that orders [engine]. */
internal suspend fun Fleet.ordererOf(engine: EndpointProcess): EntryProcess {
    var orderer: EntryProcess? = null
    awaitThat("one instance orders ${engine.spec.id}") {
        val orderers = entries.filter { orderStatus(it, engine) != null }
        orderer = orderers.singleOrNull()
        orderer != null
    }
    return checkNotNull(orderer)
}

internal suspend fun awaitPhase(entry: EntryProcess, engine: EndpointProcess, phase: OrderPhase) =
    awaitThat("${entry.spec.id} has ${engine.spec.id} in phase $phase", timeoutMs = 60_000) {
        orderStatus(entry, engine)?.phase == phase
    }
