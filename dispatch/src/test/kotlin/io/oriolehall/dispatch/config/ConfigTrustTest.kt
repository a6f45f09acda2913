package io.oriolehall.dispatch.config

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class ConfigTrustTest {
    private val holder = ConfigHolder()

    private fun config(version: Long) =
        ServingConfig(version, emptyList(), emptyList(), CallerLimits(), emptyList())

    private fun at(ms: Long, offsetMs: Long = 0) = ClockReading(ms, ms + offsetMs)

    private fun activeConfig(): ConfirmedConfig = requireNotNull(holder.current)

    @Test
    fun `an older configuration never takes the place of a newer one`() {
        holder.activateIfNewer(config(7), revision = 70, at(100))
        expectThat(holder.activateIfNewer(config(6), revision = 60, at(200))).isFalse()
        expectThat(activeConfig().table.config.version).isEqualTo(7)
    }

    @Test
    fun `a confirmation of another revision does not count`() {
        holder.activateIfNewer(config(7), revision = 70, at(100))
        holder.confirm(revision = 60, at(900))
        expectThat(activeConfig().confirmedAt.ms).isEqualTo(100)
    }

    @Test
    fun `keys are honoured only while the confirmation is young`() {
        holder.activateIfNewer(config(7), revision = 70, at(100))
        expectThat(activeConfig().mayAcceptApiKeys(at(4_000), maxAgeMs = 4_600)).isTrue()
        expectThat(activeConfig().mayAcceptApiKeys(at(4_700), maxAgeMs = 4_600)).isFalse()
        holder.confirm(revision = 70, at(4_500))
        expectThat(activeConfig().mayAcceptApiKeys(at(4_700), maxAgeMs = 4_600)).isTrue()
    }

    @Test
    fun `a machine that was suspended does not honour keys until the next confirmation`() {
        holder.activateIfNewer(config(7), revision = 70, at(100))
        val resumed = at(300, offsetMs = 6_000)
        expectThat(activeConfig().mayAcceptApiKeys(resumed, maxAgeMs = 4_600)).isFalse()
        holder.confirm(revision = 70, resumed)
        expectThat(activeConfig().mayAcceptApiKeys(resumed, maxAgeMs = 4_600)).isTrue()
    }

    @Test
    fun `a clock that was set back does not count as a suspension`() {
        holder.activateIfNewer(config(7), revision = 70, at(100))
        expectThat(activeConfig().mayAcceptApiKeys(at(300, offsetMs = -2_400), maxAgeMs = 4_600)).isTrue()
    }
}
