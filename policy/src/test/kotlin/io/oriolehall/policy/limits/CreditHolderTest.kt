package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CreditHolderTest {
    private val timing = CreditTiming()
    private val holder = CreditHolder(EndpointId("e"), timing, startedAtMs = 0)

    @Test
    fun `calls that wait where nobody can be asked are not due again at once`() {
        holder.setWaitingCalls(1, nowMs = 0)
        expectThat(holder.isDue(0)).isEqualTo(true)
        holder.postpone(0)
        expectThat(holder.isDue(timing.contendedRenewMs - 1)).isEqualTo(false)
        expectThat(holder.isDue(timing.contendedRenewMs)).isEqualTo(true)
    }
}
