package io.oriolehall.dispatch.retries

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

/**
 * Response times and work at the endpoints of one plain service with and without second attempts, in simulated time:
 * 80 instances, which see about one request a second each, before 4 endpoints that become slow for 600 ms at a time.
 */
class SecondAttemptLoadTest {
    private val limits = SecondAttemptLimits(requestShare = 0.05, workShare = 0.05)

    private fun simulate(requestsPerSecond: Double, limits: SecondAttemptLimits?) =
        SEEDS.map { SecondAttemptModel(limits, requestsPerSecond, it).apply { simulate(DURATION_MS) } }

    private fun List<SecondAttemptModel>.percentile(share: Double): Long {
        val times = flatMap { it.responseTimesMs }.sorted()
        return times[(share * times.size).toInt()]
    }

    private fun List<SecondAttemptModel>.report(name: String) = println(
        "$name: p50 ${percentile(
            0.5,
        )}, p95 ${percentile(0.95)}, p99 ${percentile(0.99)}, p99.9 ${percentile(0.999)} ms; " +
            "requests ${sumOf { it.responseTimesMs.size }}, second attempts ${sumOf { it.secondAttempts }}, " +
            "work of them ${sumOf { it.secondWorkMs }} ms, of first attempts ${sumOf { it.firstWorkMs }} ms",
    )

    /** Guards against a delay or a budget that has no effect when each instance sees few requests. */
    @Test
    fun `with idle capacity the slowest responses become faster within the limits`() {
        val without = simulate(IDLE_RATE, limits = null).apply { report("idle, without") }
        val with = simulate(IDLE_RATE, limits).apply { report("idle, with") }
        expectThat(with.percentile(0.99).toDouble() / without.percentile(0.99)).isLessThan(0.8)
        expectThat(with.percentile(0.5)).isLessThanOrEqualTo(without.percentile(0.5) + 2)
        for (model in with) {
            expectThat(model.secondAttempts).isGreaterThan(0)
            expectThat(model.secondAttempts.toDouble() / model.requests).isLessThanOrEqualTo(limits.requestShare)
            expectThat(model.secondWorkMs / model.firstWorkMs.toDouble()).isLessThanOrEqualTo(limits.workShare * 1.1)
        }
    }

    /** Guards against second attempts that take the slots which first attempts wait for. */
    @Test
    fun `without idle capacity next to no second attempt is sent, and no one waits longer`() {
        val without = simulate(BUSY_RATE, limits = null).apply { report("busy, without") }
        val with = simulate(BUSY_RATE, limits).apply { report("busy, with") }
        expectThat(with.percentile(0.99).toDouble() / without.percentile(0.99)).isLessThan(1.05)
        for (model in with) expectThat(model.secondAttempts.toDouble() / model.requests).isLessThan(0.005)
    }

    private companion object {
        val SEEDS = 1L..5L
        const val DURATION_MS = 120_000L

        /** Requests per second that take 33 % and 95 % of the slots, slow phases included. */
        const val IDLE_RATE = 90.0
        const val BUSY_RATE = 260.0
    }
}
