package io.oriolehall.policy.membership

import io.oriolehall.model.InstanceId
import kotlin.math.ceil
import kotlin.math.log2

/**
 * Queue of records to gossip. Each record is sent a number of times that grows with the logarithm of the fleet size,
 * the least often sent first, so that a change reaches all instances with high probability at a bounded rate.
 */
internal class UpdateQueue {
    private class Pending(val record: MemberRecord, var sent: Int = 0)

    private val pending = LinkedHashMap<InstanceId, Pending>()

    /** Adds [record] and replaces an older record of the same instance. */
    fun add(record: MemberRecord) {
        pending[record.id] = Pending(record)
    }

    /** Takes the next records to send, at most [limit], in a fleet of [fleetSize] instances. */
    fun take(limit: Int, fleetSize: Int): List<MemberRecord> {
        val chosen = pending.values.sortedBy(Pending::sent).take(limit)
        chosen.forEach { it.sent++ }
        val maxTransmissions = TRANSMISSIONS_PER_LOG2_SIZE * ceil(log2(fleetSize + 1.0)).toInt()
        pending.values.removeIf { it.sent >= maxTransmissions }
        return chosen.map(Pending::record)
    }

    private companion object {
        const val TRANSMISSIONS_PER_LOG2_SIZE = 3
    }
}
