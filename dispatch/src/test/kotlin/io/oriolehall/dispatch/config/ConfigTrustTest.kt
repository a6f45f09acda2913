package io.oriolehall.dispatch.config

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class ConfigTrustTest {
    private val trust = ConfigTrust()

    private fun config(version: Long) =
        ServingConfig(version, emptyList(), emptyList(), CallerLimits(), emptyList())

    private fun at(ms: Long, offsetMs: Long = 0) = Moment(ms, ms + offsetMs)

    private fun inForce(): TrustedConfig = requireNotNull(trust.current)

    @Test
    fun `an older configuration never takes the place of a newer one`() {
        trust.offer(config(7), revision = 70, at(100))
        expectThat(trust.offer(config(6), revision = 60, at(200))).isFalse()
        expectThat(inForce().table.config.version).isEqualTo(7)
    }

    @Test
    fun `a confirmation of another revision does not count`() {
        trust.offer(config(7), revision = 70, at(100))
        trust.confirm(revision = 60, at(900))
        expectThat(inForce().confirmedAt.ms).isEqualTo(100)
    }

    @Test
    fun `keys are honoured only while the confirmation is young`() {
        trust.offer(config(7), revision = 70, at(100))
        expectThat(inForce().mayHonourKeys(at(4_000), maxAgeMs = 4_600)).isTrue()
        expectThat(inForce().mayHonourKeys(at(4_700), maxAgeMs = 4_600)).isFalse()
        trust.confirm(revision = 70, at(4_500))
        expectThat(inForce().mayHonourKeys(at(4_700), maxAgeMs = 4_600)).isTrue()
    }

    @Test
    fun `a machine that was suspended does not honour keys until the next confirmation`() {
        trust.offer(config(7), revision = 70, at(100))
        val woken = at(300, offsetMs = 6_000)
        expectThat(inForce().mayHonourKeys(woken, maxAgeMs = 4_600)).isFalse()
        trust.confirm(revision = 70, woken)
        expectThat(inForce().mayHonourKeys(woken, maxAgeMs = 4_600)).isTrue()
    }

    @Test
    fun `a clock that was set back does not count as a suspension`() {
        trust.offer(config(7), revision = 70, at(100))
        expectThat(inForce().mayHonourKeys(at(300, offsetMs = -2_400), maxAgeMs = 4_600)).isTrue()
    }
}
