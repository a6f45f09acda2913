package io.oriolehall.policy.membership

import io.oriolehall.model.InstanceId
import kotlin.math.ceil
import kotlin.math.log2

/**
 * Records that are still to be passed on with messages. Each goes out a number of times that grows with the logarithm
 * of the fleet, the least sent first, so that a change reaches everyone with high probability at a bounded rate.
 */
internal class UpdateQueue {
    private class Pending(val record: MemberRecord, var sent: Int = 0)

    private val pending = LinkedHashMap<InstanceId, Pending>()

    /** Adds [record] in place of an older one of the same instance. */
    fun add(record: MemberRecord) {
        pending[record.id] = Pending(record)
    }

    /** The next records to send, at most [limit], to a fleet of [fleetSize] instances. */
    fun take(limit: Int, fleetSize: Int): List<MemberRecord> {
        val chosen = pending.values.sortedBy(Pending::sent).take(limit)
        chosen.forEach { it.sent++ }
        val enough = TRANSMISSIONS * ceil(log2(fleetSize + 1.0)).toInt()
        pending.values.removeIf { it.sent >= enough }
        return chosen.map(Pending::record)
    }

    private companion object {
        const val TRANSMISSIONS = 3
    }
}
