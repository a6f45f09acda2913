package io.oriolehall.policy.limits

import io.oriolehall.model.InstanceId

/** The number of credits that a holder wants. */
data class CreditDemand(val holder: InstanceId, val role: HolderRole, val wanted: Int)

/** Divides an owner's credit budget among the holders. */
object CreditSplit {
    /**
     * Credits for each holder, at most [budget] in total. Instances of the zone are served first, evenly and up to the
     * number that each wants, then guests. Most of the remainder is spread over the instances of the zone that want any
     * credits, so that a burst can start without waiting. The rest is kept for instances that start to send calls.
     *
     * @param rotation determines which holder is served first; it changes over time so that no holder starves.
     */
    fun targets(budget: Int, demands: List<CreditDemand>, rotation: Long): Map<InstanceId, Int> {
        val order = rotate(demands.sortedBy(CreditDemand::holder), rotation)
        val (guests, members) = order.partition { it.role == HolderRole.GUEST }
        val targets = demands.associate { it.holder to 0 }.toMutableMap()
        var remaining = distribute(budget, members, targets) { it.wanted }
        remaining = distribute(remaining, guests, targets) { it.wanted }
        distribute(remaining - budget / RESERVE_DIVISOR, members.filter { it.wanted > 0 }, targets) { Int.MAX_VALUE }
        return targets
    }

    /** Distributes [credits] round-robin, to each holder up to its ceiling; returns the remainder. */
    private fun distribute(
        credits: Int,
        order: List<CreditDemand>,
        targets: MutableMap<InstanceId, Int>,
        ceiling: (CreditDemand) -> Int,
    ): Int {
        var remaining = credits
        while (remaining > 0) {
            val recipients = order.filter { targets.getValue(it.holder) < ceiling(it) }.take(remaining)
            if (recipients.isEmpty()) return remaining
            recipients.forEach { targets[it.holder] = targets.getValue(it.holder) + 1 }
            remaining -= recipients.size
        }
        return remaining
    }

    /** The budget divided by this number is kept in reserve. */
    private const val RESERVE_DIVISOR = 4

    private fun rotate(demands: List<CreditDemand>, by: Long): List<CreditDemand> {
        if (demands.isEmpty()) return demands
        val start = Math.floorMod(by, demands.size)
        return demands.drop(start) + demands.take(start)
    }
}
