package io.oriolehall.policy.retry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RetryBudgetTest {
    @Test
    fun `in a lasting outage retries are a tenth of the calls`() {
        val budget = RetryBudget(ratio = 0.1, burst = 5.0)
        val retries = (1..1_000).count {
            budget.onFirstAttempt()
            budget.tryAcquire()
        }
        expectThat(retries).isEqualTo(104)
    }
}
