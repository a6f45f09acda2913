package io.oriolehall.policy.orders

import io.oriolehall.model.LoadReport
import io.oriolehall.policy.limits.CreditTiming

/**
 * Times of orders to engines, milliseconds.
 *
 * @property checkMs time between two looks at an engine.
 * @property longestLoadMs longest time that an engine takes to carry out an order.
 * @property startMs time from asking for a permit within which the order is sent.
 * @property reportLagMs age that an engine's report may have.
 * @property quietMs time from which an idle report shows that no call comes any more: a renewal of credits, a lease
 *   and the age of the report.
 * @property drainMs time after which no call can run any more: a renewal, a lease and the longest call.
 * @property readAgeMs age of a reading from which it must be taken again before an order is sent.
 */
data class OrderTiming(
    val checkMs: Long = 1_000,
    val longestLoadMs: Long = 60_000,
    val startMs: Long = 10_000,
    val reportLagMs: Long = 1_000,
    val quietMs: Long = CREDITS.renewMs + CREDITS.leaseMs + 1_000,
    val drainMs: Long = CREDITS.renewMs + CREDITS.settleMs,
    val readAgeMs: Long = 2_500,
) {
    /** How long a permit lasts that nobody gives back: until the order was sent and carried out. */
    val permitMs: Long get() = startMs + longestLoadMs

    /** True when nothing runs any more at an engine that has been given no work for [heldMs] milliseconds. */
    fun isDrained(heldMs: Long, report: LoadReport?): Boolean {
        val idle = report != null && report.running + report.queued == 0
        return heldMs >= drainMs || (idle && heldMs >= quietMs)
    }

    private companion object {
        val CREDITS = CreditTiming()
    }
}
