package io.oriolehall.dispatch.config

import io.oriolehall.dispatch.store.StorePosition
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

    private fun position(revision: Long, era: Long = 0) = StorePosition(era, revision)

    private fun activeConfig(): ConfirmedConfig = requireNotNull(holder.current)

    @Test
    fun `an older configuration never takes the place of a newer one`() {
        holder.activateIfNewer(config(7), position(70), at(100))
        expectThat(holder.activateIfNewer(config(6), position(60), at(200))).isFalse()
        expectThat(activeConfig().table.config.version).isEqualTo(7)
    }

    @Test
    fun `a confirmation of another revision does not count`() {
        holder.activateIfNewer(config(7), position(70), at(100))
        holder.confirm(ConfigStamp(7, position(60)), at(900))
        expectThat(activeConfig().confirmedAt.ms).isEqualTo(100)
    }

    @Test
    fun `keys are honoured only while the confirmation is young`() {
        holder.activateIfNewer(config(7), position(70), at(100))
        expectThat(activeConfig().mayAcceptApiKeys(at(4_000), maxAgeMs = 4_600)).isTrue()
        expectThat(activeConfig().mayAcceptApiKeys(at(4_700), maxAgeMs = 4_600)).isFalse()
        holder.confirm(ConfigStamp(7, position(70)), at(4_500))
        expectThat(activeConfig().mayAcceptApiKeys(at(4_700), maxAgeMs = 4_600)).isTrue()
    }

    @Test
    fun `a machine that was suspended does not honour keys until the next confirmation`() {
        holder.activateIfNewer(config(7), position(70), at(100))
        val resumed = at(300, offsetMs = 6_000)
        expectThat(activeConfig().mayAcceptApiKeys(resumed, maxAgeMs = 4_600)).isFalse()
        holder.confirm(ConfigStamp(7, position(70)), resumed)
        expectThat(activeConfig().mayAcceptApiKeys(resumed, maxAgeMs = 4_600)).isTrue()
    }

    @Test
    fun `a clock that was set back does not count as a suspension`() {
        holder.activateIfNewer(config(7), position(70), at(100))
        expectThat(activeConfig().mayAcceptApiKeys(at(300, offsetMs = -2_400), maxAgeMs = 4_600)).isTrue()
    }

    /** Guards against a revoked key that works again: revisions of another era say nothing of the order. */
    @Test
    fun `a lower version is not accepted, whatever its position in the store`() {
        holder.activateIfNewer(config(7), position(70), at(100))
        expectThat(holder.activateIfNewer(config(6), position(90, era = 1), at(200))).isFalse()
        expectThat(holder.activateIfNewer(config(6), position(99), at(200))).isFalse()
        expectThat(activeConfig().table.config.version).isEqualTo(7)
        expectThat(activeConfig().confirmedAt.ms).isEqualTo(100)
    }

    @Test
    fun `a version that was written again after a restore confirms the one in force`() {
        holder.activateIfNewer(config(7), position(70), at(100))
        expectThat(holder.activateIfNewer(config(7), position(41, era = 1), at(900))).isFalse()
        expectThat(activeConfig().confirmedAt.ms).isEqualTo(900)
        holder.confirm(ConfigStamp(7, position(70)), at(1_000))
        expectThat(activeConfig().confirmedAt.ms).isEqualTo(1_000)
    }

    @Test
    fun `a newer version that is not confirmed keeps the confirmation of the one before`() {
        expectThat(holder.activateIfNewer(config(7), position(70, era = 1), confirmedAt = null)).isTrue()
        expectThat(activeConfig().mayAcceptApiKeys(at(10), maxAgeMs = 4_600)).isFalse()
        holder.confirm(ConfigStamp(7, position(70, era = 1)), at(100))
        holder.activateIfNewer(config(8), position(71, era = 1), confirmedAt = null)
        expectThat(activeConfig().confirmedAt.ms).isEqualTo(100)
    }
}
