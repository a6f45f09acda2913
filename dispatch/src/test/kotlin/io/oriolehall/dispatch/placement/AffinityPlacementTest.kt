package io.oriolehall.dispatch.placement

import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull

class AffinityPlacementTest {
    private val placement = AffinityPlacement()

    private fun candidate(name: String, zone: String, outstanding: Int = 0, slowness: Double = 1.0) =
        PlacementCandidate(
            EndpointRecord(EndpointId(name), 1, "s", NetworkAddress("10.0.0.1", 1), ZoneId(zone), 8, false, 0),
            outstanding,
            slowness,
        )

    private fun choose(candidates: List<PlacementCandidate>, affinity: String?, inputs: String? = null) =
        placement.choose(candidates, PlacementRequest(affinity, inputs?.let(::ZoneId), ZoneId("a")))?.endpoint

    private val idle = listOf("w", "x", "y", "z").map { candidate(it, "a") }

    @Test
    fun `requests that share a prompt go to the same endpoint whatever the order of the list`() {
        expectThat(choose(idle, "p1")).isEqualTo(choose(idle.reversed(), "p1"))
    }

    @Test
    fun `a hot prompt spreads when its endpoint has much more to do than the others`() {
        val first = choose(idle, "p1")
        val withBusyEndpoint = idle.map { if (it.endpoint == first) it.copy(outstanding = 20) else it }
        expectThat(choose(withBusyEndpoint, "p1")).isNotEqualTo(first)
    }

    @Test
    fun `without a shared prompt the endpoint lies in the zone of the inputs`() {
        val candidates = listOf(candidate("x", "a"), candidate("y", "b"))
        expectThat(choose(candidates, affinity = null, inputs = "b")?.zone).isEqualTo(ZoneId("b"))
    }

    @Test
    fun `a shared prompt goes before the zone of the inputs`() {
        val candidates = listOf(candidate("x", "a"), candidate("y", "b"))
        val zones = (1..20).map { choose(candidates, "p$it", inputs = "b")?.zone?.value }
        expectThat(zones.distinct().sortedBy { it }).isEqualTo(listOf("a", "b"))
    }

    @Test
    fun `a slow endpoint is left out while others are there`() {
        val candidates = listOf(candidate("x", "a", slowness = 5.0), candidate("y", "b"))
        expectThat(
            (1..20).map {
                choose(candidates, "p$it", inputs = "a")?.id?.value
            }.distinct(),
        ).isEqualTo(listOf("y"))
    }

    @Test
    fun `nothing is chosen from nothing`() {
        expectThat(choose(emptyList(), "p1")).isNull()
    }
}
