package io.oriolehall.harness.capacity

import io.oriolehall.entry.membership.Gossip
import io.oriolehall.model.Incarnation
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import io.oriolehall.peer.PeerCodec
import io.oriolehall.policy.membership.MemberRecord
import io.oriolehall.policy.membership.Membership
import kotlin.random.Random

/**
 * A whole fleet's failure detectors in this process, with real messages between them.
 *
 * @param quiet true when nothing has changed lately; false while every message carries as many records as it may.
 */
internal class MembershipProbe(private val count: Int, private val quiet: Boolean) {
    private val codec = PeerCodec("members", Gossip.serializer())
    private val random = Random(count)
    private var nodes = emptyMap<InstanceId, Membership>()
    private var bytes = 0L
    private var exchanges = 0L
    private var nowMs = 0L

    fun measure(): List<Quantity> {
        val kept = Meter.keptBytes { build() }
        nodes = build()
        if (quiet) nodes.values.forEach(::passOnAll)
        repeat(WARM_ROUNDS) { round() }
        bytes = 0
        exchanges = 0
        val cpu = Meter.cpuMs { repeat(ROUNDS) { round() } }
        val nodeRounds = (count * ROUNDS).toDouble()
        return listOf(
            Quantity("processor", "ms a second", cpu / nodeRounds),
            Quantity("traffic", "bytes a second, both directions", 2 * bytes / nodeRounds),
            Quantity("exchanges", "a second, asked and answered", 2 * exchanges / nodeRounds),
            Quantity("memory", "bytes", kept / count),
        )
    }

    /** Empties the queue of records to pass on, as it is some time after the last change. */
    private fun passOnAll(node: Membership) {
        var records = node.recordsFor(to = null)
        while (records.size > 1) records = node.recordsFor(to = null)
    }

    private fun build(): Map<InstanceId, Membership> {
        val records = List(count) { index ->
            val instance = Instance(
                InstanceId("entry-zone-${index % ZONES}-$index"),
                ZoneId("zone-${index % ZONES}"),
                NetworkAddress("10.0.${index / PER_SUBNET}.${index % PER_SUBNET}", PORT),
            )
            MemberRecord(instance, Incarnation(START_MS + index, index), START_MS + index)
        }
        return records.associate { record ->
            val node = Membership(record.instance, record.incarnation, random = random, nowMs = nowMs)
            node.merge(records.map { it.copy() }, nowMs)
            node.join()
            record.id to node
        }
    }

    private fun round() {
        nowMs += PERIOD_MS
        for (node in nodes.values) {
            val targets = node.beginRound(nowMs)
            node.view()
            targets.forEach { exchange(node, it.id) }
            node.view()
        }
    }

    private fun exchange(from: Membership, to: InstanceId) {
        val peer = nodes.getValue(to)
        exchanges++
        val asked = send(gossip(from, from.recordsFor(to)))
        takeIn(peer, asked)
        val answer = send(gossip(peer, peer.recordsFor(asked.sender.id, reportedByTarget = asked.sender)))
        takeIn(from, answer)
        from.recordAnswer(to, skewMs = 0)
    }

    private fun gossip(node: Membership, records: List<MemberRecord>) =
        Gossip(records, node.digest(), START_MS, TICKET, platformReachable = true, wallClockMs = START_MS + nowMs)

    private fun send(gossip: Gossip): Gossip {
        val frame = codec.encode(gossip)
        bytes += frame.size + PeerCodec.HEADER_BYTES
        return codec.decode(frame)
    }

    private fun takeIn(node: Membership, gossip: Gossip) {
        if (node.merge(gossip.records, nowMs).isNotEmpty()) node.view()
        node.digest()
    }

    private companion object {
        const val ZONES = 8
        const val PER_SUBNET = 200
        const val PORT = 9_000
        const val START_MS = 1_790_000_000_000L
        const val PERIOD_MS = 1_000L
        const val TICKET = 1_000L
        const val WARM_ROUNDS = 6
        const val ROUNDS = 10
    }
}
