package io.oriolehall.dispatch.store

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull
import strikt.assertions.isTrue

class RestorePeriodTest {
    private val restore = RestorePeriod()

    @Test
    fun `a reused revision of a later era is a later position`() {
        expectThat(StorePosition(1, 60)).isGreaterThan(StorePosition(0, 100))
        expectThat(StorePosition(1, 61)).isGreaterThan(StorePosition(1, 60))
    }

    @Test
    fun `a store without eras is trusted at once`() {
        restore.onStoreAnswer(nowMs = 100, interrupted = true)
        expectThat(restore.mayConfirmConfig(sentAtMs = 100)).isTrue()
        expectThat(restore.learn(era = 0, nowMs = 100, hasState = true)).isFalse()
        expectThat(restore.nextLimitInMs(nowMs = 100)).isNull()
    }

    /** Guards against a key that works again because the copy does not know the configuration that revoked it. */
    @Test
    fun `a read of a copy confirms only when the operator has had time to write again`() {
        restore.learn(era = 1, nowMs = 1_000, hasState = true)
        expectThat(restore.mayConfirmConfig(sentAtMs = 9_000)).isFalse()
        restore.onStoreAnswer(nowMs = 10_000, interrupted = false)
        expectThat(restore.mayConfirmConfig(sentAtMs = 11_999)).isFalse()
        expectThat(restore.nextLimitInMs(nowMs = 11_500)).isEqualTo(500)
        expectThat(restore.mayConfirmConfig(sentAtMs = 12_000)).isTrue()
    }

    @Test
    fun `a write of the operator in the new era confirms at once`() {
        restore.learn(era = 1, nowMs = 1_000, hasState = true)
        restore.onStoreAnswer(nowMs = 1_000, interrupted = false)
        restore.onConfigWritten()
        expectThat(restore.mayConfirmConfig(sentAtMs = 1_100)).isTrue()
        restore.learn(era = 2, nowMs = 1_200, hasState = true)
        expectThat(restore.mayConfirmConfig(sentAtMs = 1_300)).isFalse()
    }

    @Test
    fun `writers get their time again when the store is interrupted during the protection`() {
        restore.learn(era = 1, nowMs = 1_000, hasState = true)
        restore.onStoreAnswer(nowMs = 1_000, interrupted = false)
        restore.onStoreAnswer(nowMs = 3_000, interrupted = true)
        expectThat(restore.mayConfirmConfig(sentAtMs = 4_000)).isFalse()
        expectThat(restore.listingDue(nowMs = 7_999)).isFalse()
        expectThat(restore.listingDue(nowMs = 8_000)).isTrue()
        restore.endProtection()
        expectThat(restore.listingDue(nowMs = 8_001)).isFalse()
    }

    @Test
    fun `an instance that starts long after a restore takes over the age of the era`() {
        restore.learn(era = 1, nowMs = 50_000, hasState = false)
        restore.onStoreAnswer(nowMs = 50_000, interrupted = false)
        restore.adoptAge(ageMs = 20_000, nowMs = 50_010)
        expectThat(restore.mayConfirmConfig(sentAtMs = 50_020)).isTrue()
        expectThat(restore.protecting).isFalse()
    }
}
