package io.oriolehall.policy.membership

import io.oriolehall.model.Incarnation
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import kotlin.random.Random

/**
 * Simulated instances whose probes are direct calls, one round per second. [lossRate] is the share of probes that fail.
 */
internal class FakeFleet(zones: Int, perZone: Int, private val lossRate: Double = 0.0, seed: Int = 1) {
    private val random = Random(seed)
    private var nonce = 0

    inner class Process(zone: String, val id: InstanceId, startedAtMs: Long) {
        private val instance = Instance(id, ZoneId(zone), NetworkAddress("127.0.0.1", 1))
        val incarnation = Incarnation(startedAtMs, ++nonce)
        val membership = Membership(instance, incarnation, random = random, nowMs = nowMs)
        val zone = zone
        var up = true

        fun stateOf(other: Process) = membership.view().member(other.id)?.state
    }

    var nowMs = 1_000_000L
        private set
    var partitioned = false

    /** Number of members that processes considered dead, summed over all processes and rounds. */
    var deadMembersSeen = 0
        private set
    val processes = mutableListOf<Process>()

    init {
        for (zone in 1..zones) {
            for (index in 1..perZone) add(Process("z$zone", InstanceId("z$zone-$index"), nowMs))
        }
    }

    private fun add(process: Process) {
        processes.firstOrNull { it.up }?.let { join(process, it) }
        process.membership.join()
        processes += process
    }

    private fun join(process: Process, contact: Process) {
        process.membership.merge(contact.membership.allRecords(), nowMs)
        contact.membership.merge(process.membership.recordsFor(contact.id), nowMs)
    }

    fun replace(old: Process, startedAtMs: Long = nowMs): Process = Process(old.zone, old.id, startedAtMs).also(::add)

    fun run(seconds: Int) = repeat(seconds) {
        nowMs += 1_000
        processes.filter { it.up }.forEach(::round)
    }

    private fun round(process: Process) {
        for (target in process.membership.beginRound(nowMs)) {
            val peer = processes.lastOrNull { it.id == target.id } ?: continue
            if (probe(process, peer)) continue
            val reachedByHelper = process.membership.helpers(target, random).any { helper ->
                val helperProcess = processes.last { it.id == helper.id }
                probe(process, helperProcess) && probe(helperProcess, peer)
            }
            if (!reachedByHelper) process.membership.recordSilence(peer.id, nowMs)
        }
        deadMembersSeen += process.membership.view().members.values.count { it.state == MemberState.DEAD }
    }

    private fun probe(from: Process, to: Process): Boolean {
        val blocked = partitioned && from.zone != to.zone
        if (!from.up || !to.up || blocked || random.nextDouble() < lossRate) return false
        to.membership.merge(from.membership.recordsFor(to.id), nowMs)
        from.membership.merge(to.membership.recordsFor(from.id, reportedByTarget = from.membership.ownRecord), nowMs)
        from.membership.recordAnswer(to.id, skewMs = 0)
        return true
    }
}
