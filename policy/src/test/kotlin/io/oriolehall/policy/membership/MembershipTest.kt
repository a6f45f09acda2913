package io.oriolehall.policy.membership

import io.oriolehall.model.Incarnation
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

class MembershipTest {
    private val settings = MembershipSettings()

    @Test
    fun `a fleet finds itself from one contact`() {
        val fleet = FakeFleet(zones = 3, perZone = 4)
        fleet.run(seconds = 15)
        expectThat(fleet.processes).all {
            get { membership.view().members.values.count(Member::canOwn) }.isEqualTo(12)
        }
    }

    @Test
    fun `a killed instance is dead everywhere within ten seconds`() {
        val fleet = FakeFleet(zones = 2, perZone = 4).apply { run(seconds = 15) }
        val victim = fleet.processes[3].also { it.up = false }
        fleet.run(seconds = 10)
        expectThat(fleet.processes - victim).all { get { stateOf(victim) }.isEqualTo(MemberState.DEAD) }
    }

    @Test
    fun `a pause of two seconds and lost packets make nobody dead`() {
        val fleet = FakeFleet(zones = 2, perZone = 4, lossRate = 0.02).apply { run(seconds = 15) }
        val paused = fleet.processes[2]
        repeat(5) {
            paused.up = false
            fleet.run(seconds = 2)
            paused.up = true
            fleet.run(seconds = 8)
        }
        expectThat(fleet.deadMembersSeen).isEqualTo(0)
    }

    @Test
    fun `cut zones lose each other and find each other again`() {
        val fleet = FakeFleet(zones = 2, perZone = 3).apply { run(seconds = 15) }
        fleet.partitioned = true
        fleet.run(seconds = 15)
        expectThat(fleet.processes).all {
            get { membership.view().members.values.count(Member::reachable) }.isEqualTo(3)
        }
        fleet.partitioned = false
        fleet.run(seconds = 15)
        expectThat(fleet.processes).all {
            get { membership.view().members.values.count(Member::reachable) }.isEqualTo(6)
        }
    }

    @Test
    fun `an instance paused for long comes back with a view that is not fresh until a peer answered`() {
        val fleet = FakeFleet(zones = 1, perZone = 4).apply { run(seconds = 15) }
        val paused = fleet.processes[1].also { it.up = false }
        fleet.run(seconds = 20)
        expectThat(paused.membership.view().isFresh(fleet.nowMs)).isFalse()
        paused.membership.beginRound(fleet.nowMs)
        expectThat(paused.membership.view().isFresh(fleet.nowMs)).isFalse()
        paused.up = true
        fleet.run(seconds = 5)
        expectThat(paused.membership.view().isFresh(fleet.nowMs)).isTrue()
        expectThat(fleet.processes).all { get { stateOf(paused) }.isEqualTo(MemberState.ALIVE) }
    }

    @Test
    fun `a replacement takes over the name and the old process learns that it is superseded`() {
        val fleet = FakeFleet(zones = 1, perZone = 4).apply { run(seconds = 15) }
        val old = fleet.processes[1].also { it.up = false }
        val replacement = fleet.replace(old)
        fleet.run(seconds = 12)
        val others = fleet.processes - old - replacement
        expectThat(others).all {
            get { membership.view().member(old.id) }.isNotNull().get { incarnation }.isEqualTo(replacement.incarnation)
        }
        old.up = true
        fleet.run(seconds = 5)
        expectThat(old.membership.view().superseded).isTrue()
        expectThat(replacement.membership.view().superseded).isFalse()
    }

    @Test
    fun `a replacement whose clock is behind still takes over`() {
        val fleet = FakeFleet(zones = 1, perZone = 4).apply { run(seconds = 15) }
        val old = fleet.processes[1].also { it.up = false }
        val replacement = fleet.replace(old, startedAtMs = 5)
        fleet.run(seconds = 12)
        expectThat(fleet.processes - old - replacement).all {
            get { membership.view().member(old.id) }.isNotNull().get { incarnation }.isEqualTo(replacement.incarnation)
        }
    }

    @Test
    fun `a leaving instance owns nothing but can still be asked`() {
        val fleet = FakeFleet(zones = 1, perZone = 4).apply { run(seconds = 15) }
        val leavingInstance = fleet.processes[0].also { it.membership.leave() }
        fleet.run(seconds = 4)
        for (process in fleet.processes - leavingInstance) {
            val member = process.membership.view().member(leavingInstance.id)
            expectThat(member).isNotNull().and {
                get { canOwn }.isFalse()
                get { reachable }.isTrue()
            }
        }
    }

    @Test
    fun `probes and records of a round do not grow with the fleet`() {
        val members = (1..350).map { record("i$it", "z${it % 8}") }
        val self = Instance(InstanceId("self"), ZoneId("z1"), NetworkAddress("127.0.0.1", 1))
        val membership = Membership(self, Incarnation(1, 1), settings, nowMs = 0)
        membership.merge(members, 0)
        val targets = (1..2_000L).map { membership.beginRound(it * 1_000).also { _ -> membership.recordsFor(null) } }
        expectThat(targets).all { get { size }.isLessThanOrEqualTo(3) }
        val probedInOtherZones = targets.flatten().filter { it.instance.zone != self.zone }.distinctBy { it.id }
        expectThat(probedInOtherZones).hasSize(7 * settings.linksPerZone)
        expectThat(membership.recordsFor(null).size).isLessThanOrEqualTo(settings.updatesPerMessage + 2)
    }

    private fun record(id: String, zone: String): MemberRecord {
        val instance = Instance(InstanceId(id), ZoneId(zone), NetworkAddress("127.0.0.1", 1))
        return MemberRecord(instance, Incarnation(1, 1), epoch = 1)
    }
}
