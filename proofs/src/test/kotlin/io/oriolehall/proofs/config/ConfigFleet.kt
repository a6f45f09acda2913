package io.oriolehall.proofs.config

import io.oriolehall.entry.InstanceStatus
import io.oriolehall.harness.fleet.EndpointProcess
import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.FleetBuilder
import io.oriolehall.harness.fleet.awaitThat
import io.oriolehall.model.AvailabilityZone
import io.oriolehall.model.ServiceState
import io.oriolehall.model.StageKind
import io.oriolehall.model.Ticket
import io.oriolehall.model.ZoneId
import io.oriolehall.standins.faultproxy.Fault
import io.oriolehall.standins.faultproxy.FaultMatch
import io.oriolehall.standins.faultproxy.FaultMode

/** Three zones with entry instances, engines, stock services and encoders; all links go through the fault proxy. */
internal fun FleetBuilder.threeZones(entriesPerZone: Int = 2) {
    proxied = true
    for (zone in listOf("z1", "z2", "z3")) {
        zone(zone) {
            entries(entriesPerZone)
            endpoint(
                "enc-$zone",
                "encoders",
                StageKind.ENCODE,
                warmLimit = 64,
                arguments = listOf("--service-ms=20"),
            )
            endpoint(
                "gen-$zone",
                "engines",
                StageKind.GENERATE,
                warmLimit = 64,
                arguments = listOf("--tokens-per-second=40"),
            )
            endpoint("stock-$zone", "stock", StageKind.CALL, warmLimit = 64, arguments = listOf("--service-ms=20"))
        }
    }
    organisation("authority")
    pipeline("lookup") { stage("encode", StageKind.ENCODE, "encoders", expectedMs = 20) }
    pipeline("summary") {
        stage("encode", StageKind.ENCODE, "encoders", expectedMs = 20)
        stage("generate", StageKind.GENERATE, "engines", expectedMs = 500)
    }
    pipeline("order") { stage("order", StageKind.CALL, "stock", idempotent = false, expectedMs = 20) }
}

internal fun zoneState(zone: String, state: ServiceState) = AvailabilityZone(ZoneId(zone), state)

/** Status of an instance, or null when it cannot be asked. */
internal suspend fun EntryProcess.statusOrNull(): InstanceStatus? = runCatching { status() }.getOrNull()

internal suspend fun EntryProcess.hasTicket(ticket: Ticket): Boolean =
    (statusOrNull()?.highestTicket ?: 0) >= ticket.number

/** Waits until [ticket] is in force on all [entries] and returns how long that took, milliseconds. */
internal suspend fun awaitTicket(ticket: Ticket, entries: List<EntryProcess>, timeoutMs: Long = 10_000): Long {
    val start = System.nanoTime()
    for (entry in entries) {
        awaitThat("ticket ${ticket.number} is in force on ${entry.spec.id}", timeoutMs) { entry.hasTicket(ticket) }
    }
    return (System.nanoTime() - start) / 1_000_000
}

/** Waits until all [entries] hold one configuration and returns how long that took, milliseconds. */
internal suspend fun awaitAgreement(entries: List<EntryProcess>, timeoutMs: Long = 10_000): Long {
    val start = System.nanoTime()
    awaitThat("${entries.map { it.spec.id }} have one configuration", timeoutMs) {
        val digests = entries.map { it.statusOrNull()?.configDigest }
        digests.first() != null && digests.distinct().size == 1
    }
    return (System.nanoTime() - start) / 1_000_000
}

/** Cuts every instance but [reader] off from the platform. */
internal suspend fun Fleet.cutPlatformForAllBut(reader: EntryProcess) {
    faults.cutPlatform()
    val link = FaultMatch(sourceId = reader.spec.id.value, targetId = "platform")
    faults.add(Fault(link, FaultMode.PASS))
}

internal fun Fleet.entriesOf(zone: String): List<EntryProcess> = entries.filter { it.spec.zone == ZoneId(zone) }

internal fun Fleet.endpointsOf(zone: String): List<EndpointProcess> = endpoints.filter { it.spec.zone == ZoneId(zone) }

/** Wall-clock time at which the last call arrived at an endpoint of [zone], milliseconds since the epoch. */
internal suspend fun Fleet.lastNewWorkAtMs(zone: String): Long = endpointsOf(zone).maxOf { it.stats().lastNewWorkAtMs }
