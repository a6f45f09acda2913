package io.oriolehall.gateway.quarantine

import io.oriolehall.model.EndpointId
import io.oriolehall.policy.quarantine.Fingerprint
import io.oriolehall.policy.quarantine.RequestFingerprints
import io.oriolehall.runtime.EventLog
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

/** The bounds are the operators': three requests after the fifth crash and the time that instances need to tell. */
class CrashQuarantineTest {
    private fun SimulatedFleet.expectFewCrashes() {
        val fifthAtMs = crashesAtMs.getOrNull(4) ?: return
        val late = crashingSentAtMs.count { it > fifthAtMs + NOTICE_BOUND_MS }
        expectThat(late).describedAs("crashing requests sent late, $crashesAtMs").isLessThanOrEqualTo(MAX_LATE)
    }

    private fun SimulatedFleet.expectSoundServed() {
        expectThat(soundSent).isGreaterThan(100)
        expectThat(soundRefused).describedAs("sound requests refused of ${soundSent + soundRefused}")
            .isLessThan((soundSent + soundRefused) / ONE_PERCENT)
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a small fleet refuses the crashing part only`(seed: Long) {
        val fleet = SimulatedFleet(8, 13, requestsPerSecond = 12.0, crashingShare = 0.05, seed)
        fleet.run(untilMs = 60_000)
        fleet.expectFewCrashes()
        fleet.expectSoundServed()
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a large fleet, where each instance sees few requests, refuses the crashing part only`(seed: Long) {
        val fleet = SimulatedFleet(95, 74, requestsPerSecond = 40.0, crashingShare = 0.2, seed)
        fleet.run(untilMs = 40_000)
        fleet.expectFewCrashes()
        fleet.expectSoundServed()
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `endpoints that end by themselves, many at once, do not make sound requests refused`(seed: Long) {
        val fleet = SimulatedFleet(95, 74, requestsPerSecond = 120.0, crashingShare = 0.0, seed)
        for (second in 1L..20) fleet.endEndpoints(second * 1_000, count = 15)
        fleet.run(untilMs = 30_000)
        fleet.expectSoundServed()
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `instances that are replaced in turn do not let the crashing part through again`(seed: Long) {
        val fleet = SimulatedFleet(8, 13, requestsPerSecond = 12.0, crashingShare = 0.2, seed)
        fleet.restartInstances(fromMs = 15_000, intervalMs = 1_000)
        fleet.run(untilMs = 40_000)
        fleet.expectFewCrashes()
        expectThat(fleet.crashingSentAtMs.count { it > 14_000 }).isEqualTo(0)
        fleet.expectSoundServed()
    }

    /** Guards against review case 4: a request that crashed endpoints after its first event was never refused. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a request that crashes endpoints amid its answer is refused`(seed: Long) {
        val fleet = SimulatedFleet(
            8,
            13,
            requestsPerSecond = 12.0,
            crashingShare = 0.05,
            seed,
            CrashKind.REQUEST_AMID_ANSWER,
            maxStreamMs = 3_000,
        )
        fleet.run(untilMs = 60_000)
        val thirdAtMs = fleet.crashesAtMs[2]
        expectThat(fleet.crashingSentAtMs.count { it > thirdAtMs + NOTICE_BOUND_MS }).isEqualTo(0)
        fleet.expectSoundServed()
    }

    /** Guards against the fault of review case 4 where the requests have only a part in common. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a part that crashes endpoints amid the answer is refused`(seed: Long) {
        val fleet = SimulatedFleet(
            8,
            13,
            requestsPerSecond = 12.0,
            crashingShare = 0.05,
            seed,
            CrashKind.PART_AMID_ANSWER,
            maxStreamMs = 3_000,
        )
        fleet.run(untilMs = 60_000)
        fleet.expectFewCrashes()
        fleet.expectSoundServed()
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `endpoints that end by themselves amid many answers do not make sound requests refused`(seed: Long) {
        val fleet = SimulatedFleet(
            95,
            74,
            requestsPerSecond = 120.0,
            crashingShare = 0.0,
            seed,
            maxStreamMs = 4_000,
        )
        for (second in 1L..20) fleet.endEndpoints(second * 1_000, count = 15)
        fleet.run(untilMs = 30_000)
        fleet.expectSoundServed()
    }

    /** Guards against exchanges that grow with all losses of a minute: an end amid answers concerns every stream. */
    @Test
    fun `another instance learns what is recent and all that is blamed`() {
        var nowMs = 0L
        val quarantine = CrashQuarantine(NoExchange, EventLog { _, _ -> }) { nowMs }
        fun endpointEnds(endpoint: String, request: String) {
            val fingerprints = RequestFingerprints(Fingerprint.ofPromptPart("s", request), emptyList())
            quarantine.onEndpointEnded(EndpointId(endpoint), listOf(LostRequest(fingerprints, answerBegun = true)))
        }
        for (endpoint in listOf("e1", "e2", "e3")) endpointEnds(endpoint, "blamed")
        endpointEnds("e1", "old")
        nowMs = 20_000
        endpointEnds("e4", "recent")
        val recent = quarantine.known(maxAgeMs = 10_000)
        expectThat(recent.map { it.endpoint.value }).containsExactlyInAnyOrder("e1", "e2", "e3", "e4")
        expectThat(recent.map { it.fingerprint }.toSet()).hasSize(2)
        expectThat(quarantine.known()).hasSize(5)
    }

    private object NoExchange : CrashExchange {
        override fun tell(notice: CrashNotice, onCleared: (ClearedFingerprints) -> Unit) = Unit

        override suspend fun ask(query: CrashQuery): KnownCrashes? = null
    }

    private companion object {
        const val NOTICE_BOUND_MS = 3_000L
        const val MAX_LATE = 3
        const val ONE_PERCENT = 100
    }
}
