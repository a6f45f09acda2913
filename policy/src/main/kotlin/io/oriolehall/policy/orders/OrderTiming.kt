package io.oriolehall.policy.orders

import io.oriolehall.model.LoadReport
import io.oriolehall.policy.limits.CreditTiming

/**
 * Times of orders to engines, milliseconds.
 *
 * @property checkIntervalMs time between two checks of an engine.
 * @property longestLoadMs maximum time that an engine takes to carry out an order.
 * @property sendWithinMs time from the request for a permit within which the order must be sent.
 * @property reportLagMs maximum age of an engine's load report.
 * @property idleDrainMs time without new work after which an idle report shows that no further call will start: one
 *   credit renewal, one lease and the age of the report.
 * @property drainMs time without new work after which no call can still be running: one credit renewal, one lease and
 *   the longest call.
 * @property maxReadingAgeMs maximum age of a load report that has been read; an order is not sent on an older one.
 */
data class OrderTiming(
    val checkIntervalMs: Long = 1_000,
    val longestLoadMs: Long = 60_000,
    val sendWithinMs: Long = 10_000,
    val reportLagMs: Long = 1_000,
    val idleDrainMs: Long = CREDITS.renewMs + CREDITS.leaseMs + 1_000,
    val drainMs: Long = CREDITS.renewMs + CREDITS.settleMs,
    val maxReadingAgeMs: Long = 2_500,
) {
    /** Lifetime of a permit that is not released: the time to send the order and to carry it out. */
    val permitMs: Long get() = sendWithinMs + longestLoadMs

    /** True if no call can still run at an engine that has received no new work for [withoutNewWorkMs] milliseconds. */
    fun isDrained(withoutNewWorkMs: Long, report: LoadReport?): Boolean {
        val idle = report != null && report.running + report.queued == 0
        return withoutNewWorkMs >= drainMs || (idle && withoutNewWorkMs >= idleDrainMs)
    }

    private companion object {
        val CREDITS = CreditTiming()
    }
}
