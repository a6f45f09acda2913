package io.oriolehall.dispatch.endpoints

import io.oriolehall.model.ZoneId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty

class EvacuatedZonesTest {
    private val zones = EvacuatedZones()
    private val a = ZoneId("a")
    private val b = ZoneId("b")

    @Test
    fun `an evacuation that the copy lost goes on until a listing after the protection`() {
        zones.set(a, true, nowMs = 0)
        expectThat(zones.addFromCopy(listOf(b), nowMs = 100)).containsExactly(a)
        expectThat(zones.zones).containsExactlyInAnyOrder(a, b)
        zones.replaceAll(listOf(b), nowMs = 5_100)
        expectThat(zones.zones).containsExactly(b)
    }

    @Test
    fun `an evacuation that had ended comes back with the copy only if the operator does not end it again`() {
        zones.set(a, true, nowMs = 0)
        zones.set(b, true, nowMs = 0)
        zones.replaceAll(emptyList(), nowMs = 100)
        zones.addFromCopy(listOf(a, b), nowMs = 500)
        expectThat(zones.zones).isEmpty()
        zones.set(b, false, nowMs = 700)
        expectThat(zones.applyDue(nowMs = 2_499)).isEmpty()
        expectThat(zones.applyDue(nowMs = 2_500)).containsExactly(a)
        expectThat(zones.zones).containsExactly(a)
    }
}
