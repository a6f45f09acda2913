package io.oriolehall.dispatch.limits

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

class SharedLimitsTest {
    @Test
    fun `all instances together stay within the repeats of any window`() {
        val instances = 7
        val allowances = List(instances) { RepeatAllowance(0.2, 54.0, windowMs = 10_000, startedAtMs = -20_000) }
        val repeats = mutableListOf<Long>()
        val firsts = mutableListOf<Long>()
        for (nowMs in 0L until 60_000L step 20) {
            for (allowance in allowances) {
                if (nowMs % 400 == 0L) {
                    allowance.onFirst(nowMs)
                    firsts += nowMs
                }
                if (allowance.tryTake(nowMs, instances)) repeats += nowMs
            }
        }
        for (endMs in 10_000L..60_000L step 500) {
            val window = endMs - 10_000 until endMs
            expectThat(repeats.count { it in window })
                .isLessThanOrEqualTo((0.2 * firsts.count { it in window } + 54).toInt())
        }
    }

    @Test
    fun `a process that has just started repeats nothing, because the one before may have used the window`() {
        val allowance = RepeatAllowance(0.2, 54.0, windowMs = 10_000, startedAtMs = 0)
        expectThat(allowance.tryTake(nowMs = 10, instances = 7)).isFalse()
        expectThat(allowance.tryTake(nowMs = 10_000, instances = 7)).isTrue()
    }

    @Test
    fun `a cold endpoint gets no more than it bears from all senders together`() {
        val limits = List(7) { ColdLimit() }
        val sent = mutableListOf<Long>()
        for (nowMs in 0L until 5_000L step 10) {
            for (limit in limits) {
                if (!limit.allows(nowMs, perSecond = 24.5, senders = 7)) continue
                limit.onSent(nowMs)
                sent += nowMs
            }
        }
        val most = (0L..4_000L step 10).maxOf { start -> sent.count { it in start until start + 1_000 } }
        expectThat(most).isLessThanOrEqualTo(24)
        expectThat(sent.size > 0).isEqualTo(true)
    }
}
