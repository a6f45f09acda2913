package io.oriolehall.harness.fleet

import io.oriolehall.model.WireJson
import io.oriolehall.model.ZoneId
import io.oriolehall.standins.faultproxy.Fault
import io.oriolehall.standins.faultproxy.FaultMatch
import io.oriolehall.standins.faultproxy.FaultMode
import io.oriolehall.standins.faultproxy.Link
import io.oriolehall.standins.faultproxy.LinkStatus

/** Drives the fault proxy. Faults add up until [heal]. */
class FaultControl internal constructor(private val control: ControlHttp) {
    /** Cuts [a] and [b] off from each other. */
    suspend fun cutZones(a: ZoneId, b: ZoneId) {
        add(Fault(FaultMatch(sourceZone = a.value, targetZone = b.value), FaultMode.CUT))
        add(Fault(FaultMatch(sourceZone = b.value, targetZone = a.value), FaultMode.CUT))
    }

    /** Lets nothing pass from [from] to [to], whichever side opened the connection. */
    suspend fun cutForward(from: ZoneId, to: ZoneId) {
        add(Fault(FaultMatch(sourceZone = from.value, targetZone = to.value), FaultMode.CUT_FORWARD))
        add(Fault(FaultMatch(sourceZone = to.value, targetZone = from.value), FaultMode.CUT_BACK))
    }

    /** Cuts [zone] off from all others and from the platform. */
    suspend fun isolate(zone: ZoneId) = add(Fault(FaultMatch(crossingZone = zone.value), FaultMode.CUT))

    /** Cuts all entry instances, or those of [zone], off from the platform. */
    suspend fun cutPlatform(zone: ZoneId? = null) =
        add(Fault(FaultMatch(sourceZone = zone?.value, targetId = PLATFORM_ID), FaultMode.CUT))

    suspend fun add(fault: Fault) {
        control.post("/faults", Fault.serializer(), fault)
    }

    /** Ends all faults. */
    suspend fun heal() = control.delete("/faults")

    internal suspend fun open(link: Link): LinkStatus =
        WireJson.decodeFromString(LinkStatus.serializer(), control.post("/links", Link.serializer(), link))

    companion object {
        /** Identifier of the platform in links; it is in no zone. */
        const val PLATFORM_ID = "platform"
    }
}
