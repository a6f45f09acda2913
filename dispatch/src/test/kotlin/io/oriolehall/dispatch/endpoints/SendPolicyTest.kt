package io.oriolehall.dispatch.endpoints

import io.oriolehall.model.EndpointId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

class SendPolicyTest {
    private val id = EndpointId("e")
    private val open = EndpointCondition(published = null, leaving = false, pause = null)

    private fun obstacle(condition: EndpointCondition, nowMs: Long = 0) =
        (SendPolicy.decide(condition, nowMs) as? SendDecision.Denied)?.obstacle

    @Test
    fun `each obstacle denies, and preferences only order`() {
        expectThat(obstacle(open)).isNull()
        for (published in listOf(SendObstacle.NOT_REGISTERED, SendObstacle.DRAINING, SendObstacle.ZONE_EVACUATED)) {
            expectThat(obstacle(open.copy(published = published))).isEqualTo(published)
        }
        expectThat(obstacle(open.copy(leaving = true))).isEqualTo(SendObstacle.LEAVING)
        expectThat(obstacle(open.copy(pause = EndpointPause(10)))).isEqualTo(SendObstacle.PAUSED)
        expectThat(obstacle(open.copy(withinColdLimit = false))).isEqualTo(SendObstacle.COLD_LIMIT)
        expectThat(obstacle(open.copy(connectionFree = false))).isEqualTo(SendObstacle.CONNECTION_LIMIT)
        val unhealthy = SendPolicy.decide(open.copy(excluded = true), 0) as SendDecision.Allowed
        val cutOff = SendPolicy.decide(open.copy(zoneUnreachable = true), 0) as SendDecision.Allowed
        expectThat(0 < unhealthy.rank && unhealthy.rank < cutOff.rank).isTrue()
    }

    @Test
    fun `after a pause an endpoint gets more requests step by step`() {
        val pause = EndpointPause(1_000)
        val first = open.copy(pause = pause)
        expectThat(obstacle(first, 1_000)).isNull()
        expectThat(obstacle(first.copy(outstanding = 1), 1_000)).isEqualTo(SendObstacle.RAMPING_UP)
        expectThat(obstacle(first.copy(outstanding = 1), 1_300)).isNull()
        expectThat(obstacle(first.copy(outstanding = 500), 3_000)).isNull()
    }

    @Test
    fun `instances return at different times, none of them early`() {
        val ends = (1..50).map { EndpointSignals(Random(it)).onPause(id, 5_000, nowMs = 100)!!.untilMs }
        expectThat(ends.all { it in 5_100..5_600 }).isTrue()
        expectThat(ends.distinct().size > 30).isTrue()
    }

    @Test
    fun `a shorter pause does not end a longer one, and a pause is at most a day`() {
        val signals = EndpointSignals(Random(1))
        val long = signals.onPause(id, Long.MAX_VALUE, nowMs = 0)!!
        expectThat(long.untilMs).isLessThanOrEqualTo(EndpointSignals.MAX_PAUSE_MS + 1_000)
        expectThat(signals.onPause(id, 200, nowMs = 10)).isNull()
        expectThat(signals.pauseOf(id)).isEqualTo(long)
    }

    /** Random signals and sends: the two rules are checked at every step against what was told. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10])
    fun `no request is sent to an endpoint that leaves or pauses, whatever comes in which order`(seed: Long) {
        val random = Random(seed)
        val signals = EndpointSignals(Random(seed + 1))
        val leaving = HashSet<EndpointId>()
        val pausedUntilMs = HashMap<EndpointId, Long>()
        var nowMs = 0L
        repeat(20_000) {
            nowMs += random.nextLong(40)
            val endpoint = EndpointId("e${random.nextInt(12)}")
            when (random.nextInt(100)) {
                0 -> if (random.nextInt(20) == 0) {
                    signals.onLeaving(endpoint)
                    leaving += endpoint
                }

                in 1..3 -> {
                    val durationMs = random.nextLong(8_000)
                    signals.onPause(endpoint, durationMs, nowMs)
                    pausedUntilMs.merge(endpoint, nowMs + durationMs, ::maxOf)
                }

                4 -> signals.removeEndedPauses(nowMs)

                else -> {
                    val condition = EndpointCondition(
                        published = SendObstacle.DRAINING.takeIf { random.nextInt(10) == 0 },
                        leaving = signals.isLeaving(endpoint),
                        pause = signals.pauseOf(endpoint),
                        outstanding = random.nextInt(6),
                        excluded = random.nextBoolean(),
                        zoneUnreachable = random.nextBoolean(),
                    )
                    if (SendPolicy.decide(condition, nowMs) is SendDecision.Allowed) {
                        expectThat(endpoint in leaving).isFalse()
                        expectThat(pausedUntilMs[endpoint] ?: 0).isLessThanOrEqualTo(nowMs)
                        expectThat(condition.published).isNull()
                    }
                }
            }
        }
        expectThat(leaving.size > 0).isTrue()
        expectThat(SendPolicy.decide(open, nowMs)).isA<SendDecision.Allowed>()
    }
}
