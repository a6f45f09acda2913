package io.oriolehall.dispatch.endpoints

import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty

class ZoneReachabilityTest {
    private val zone = ZoneId("b")
    private val reachability = ZoneReachability(ZoneId("a"))

    private fun probe(name: String, answered: Boolean, of: ZoneId = zone) =
        reachability.record(InstanceId(name), of, answered)

    @Test
    fun `one silent instance does not make its zone unreachable, however often it is probed`() {
        repeat(5) { probe("b1", answered = false) }
        expectThat(reachability.unreachable).isEmpty()
    }

    @Test
    fun `a zone whose instances are silent is unreachable until one of them answers`() {
        probe("b1", answered = false)
        probe("b2", answered = false)
        expectThat(reachability.unreachable).containsExactly(zone)
        probe("b2", answered = true)
        expectThat(reachability.unreachable).isEmpty()
    }

    @Test
    fun `an answer between two silent instances counts`() {
        probe("b1", answered = false)
        probe("b2", answered = true)
        probe("b3", answered = false)
        expectThat(reachability.unreachable).isEmpty()
    }

    @Test
    fun `zones are judged apart, and the own zone is never given up`() {
        probe("c1", answered = false, of = ZoneId("c"))
        probe("b1", answered = false)
        probe("b2", answered = false)
        probe("a1", answered = false, of = ZoneId("a"))
        probe("a2", answered = false, of = ZoneId("a"))
        expectThat(reachability.unreachable).containsExactly(zone)
    }
}
