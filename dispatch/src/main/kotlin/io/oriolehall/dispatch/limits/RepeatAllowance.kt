package io.oriolehall.dispatch.limits

/**
 * This instance's part of the repeats that all instances together may send to a service in a sliding window. A part of
 * the first requests earns repeats; the fixed allowance is divided by the number of instances. A young process gets
 * less, because the one before it may have used the window already.
 *
 * @param ratio repeats per first request.
 * @param allowance repeats in a window over all instances, besides the ratio.
 * @param windowMs length of the window, milliseconds.
 */
class RepeatAllowance(
    private val ratio: Double,
    private val allowance: Double,
    private val windowMs: Long,
    private val startedAtMs: Long,
) {
    private val firsts = ArrayDeque<Long>()
    private val repeats = ArrayDeque<Long>()

    fun onFirst(nowMs: Long) {
        firsts.addLast(nowMs)
        trim(nowMs)
    }

    /** Takes one repeat when the window has one left for this instance among [instances]. */
    fun tryTake(nowMs: Long, instances: Int): Boolean {
        trim(nowMs)
        val age = ((nowMs - startedAtMs).toDouble() / windowMs).coerceIn(0.0, 1.0)
        val share = allowance / maxOf(1, instances) * age
        if (repeats.size + 1 > SAFETY * (ratio * firsts.size + share)) return false
        repeats.addLast(nowMs)
        return true
    }

    private fun trim(nowMs: Long) {
        while (firsts.isNotEmpty() && firsts.first() <= nowMs - windowMs) firsts.removeFirst()
        while (repeats.isNotEmpty() && repeats.first() <= nowMs - windowMs) repeats.removeFirst()
    }

    private companion object {
        /** Part of the bound that is used; the rest covers instances that disagree about their number. */
        const val SAFETY = 0.8
    }
}
