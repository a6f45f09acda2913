package io.oriolehall.dispatch.stages

import io.oriolehall.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class SilentOwnersTest {
    private val owner = InstanceId("o")
    private val owners = SilentOwners(retryAfterMs = 1_000)

    @Test
    fun `a silent owner is asked again by one request after a time`() {
        expectThat(owners.mayAsk(owner, nowMs = 0)).isTrue()
        owners.onSilence(owner, nowMs = 400)
        expectThat(owners.mayAsk(owner, nowMs = 1_399)).isFalse()
        expectThat(owners.mayAsk(owner, nowMs = 1_400)).isTrue()
        expectThat(owners.mayAsk(owner, nowMs = 1_401)).isFalse()
    }

    @Test
    fun `an owner that answers is asked by all`() {
        owners.onSilence(owner, nowMs = 0)
        owners.onAnswer(owner)
        expectThat(owners.mayAsk(owner, nowMs = 1)).isTrue()
        expectThat(owners.mayAsk(owner, nowMs = 2)).isTrue()
    }

    /** Guards against a query that takes the turn of the request that tries a silent owner again. */
    @Test
    fun `asking whether an owner is silent leaves the next request its turn`() {
        owners.onSilence(owner, nowMs = 0)
        expectThat(owners.isSilent(owner, nowMs = 999)).isTrue()
        expectThat(owners.isSilent(owner, nowMs = 1_000)).isFalse()
        expectThat(owners.mayAsk(owner, nowMs = 1_000)).isTrue()
    }

    @Test
    fun `the silence of one owner does not hold for another`() {
        owners.onSilence(owner, nowMs = 0)
        expectThat(owners.mayAsk(InstanceId("p"), nowMs = 1)).isTrue()
    }
}
