package io.oriolehall.policy.limits

import io.oriolehall.model.InstanceId

/** What one holder would use. */
data class CreditDemand(val holder: InstanceId, val role: HolderRole, val wanted: Int)

/** Divides an owner's budget among the holders. */
object CreditSplit {
    /**
     * Credits for each holder, [budget] in all. Instances of the zone come first, each up to what it wants, evenly;
     * then guests. Most of what is left is spread over those of the zone that want any, so that a burst can start at
     * once; a part stays back for an instance that begins to send.
     *
     * @param rotation moves the place of the holder that is served first, so that none goes without for ever.
     */
    fun targets(budget: Int, demands: List<CreditDemand>, rotation: Long): Map<InstanceId, Int> {
        val order = rotate(demands.sortedBy(CreditDemand::holder), rotation)
        val (guests, members) = order.partition { it.role == HolderRole.GUEST }
        val targets = demands.associate { it.holder to 0 }.toMutableMap()
        var left = deal(budget, members, targets) { it.wanted }
        left = deal(left, guests, targets) { it.wanted }
        deal(left - budget / KEPT_BACK_PART, members.filter { it.wanted > 0 }, targets) { Int.MAX_VALUE }
        return targets
    }

    /** Deals [credits] one at a time in turn, to each holder up to its ceiling; returns what is left. */
    private fun deal(
        credits: Int,
        order: List<CreditDemand>,
        targets: MutableMap<InstanceId, Int>,
        ceiling: (CreditDemand) -> Int,
    ): Int {
        var left = credits
        while (left > 0) {
            val takers = order.filter { targets.getValue(it.holder) < ceiling(it) }.take(left)
            if (takers.isEmpty()) return left
            takers.forEach { targets[it.holder] = targets.getValue(it.holder) + 1 }
            left -= takers.size
        }
        return left
    }

    /** One part in so many of a budget stays back while nobody wants it. */
    private const val KEPT_BACK_PART = 4

    private fun rotate(demands: List<CreditDemand>, by: Long): List<CreditDemand> {
        if (demands.isEmpty()) return demands
        val start = Math.floorMod(by, demands.size)
        return demands.drop(start) + demands.take(start)
    }
}
