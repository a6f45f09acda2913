package io.oriolehall.policy.admission

import io.oriolehall.model.OrganisationId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class AdmissionTest {
    private val queue = FairQueue<String>()

    private fun add(organisation: String, item: String, share: Int = 1, priority: Int = 0, latestStartMs: Long = 100) =
        queue.add(WaitingCall(OrganisationId(organisation), share, priority, latestStartMs, item))

    private fun drain() = generateSequence { queue.pollFirst { true }?.item }.toList()

    @Test
    fun `one organisation's burst does not make the others wait`() {
        repeat(4) { add("large", "l$it", latestStartMs = it.toLong()) }
        add("small", "s0")
        expectThat(drain().indexOf("s0")).isEqualTo(1)
    }

    @Test
    fun `organisations are served in proportion to their shares`() {
        repeat(6) { add("two", "two", share = 2) }
        repeat(6) { add("one", "one") }
        expectThat(drain().take(6).count { it == "two" }).isEqualTo(4)
    }

    @Test
    fun `within an organisation priority goes first and then the least slack`() {
        add("a", "later", latestStartMs = 90)
        add("a", "sooner", latestStartMs = 10)
        add("a", "urgent", priority = 1)
        expectThat(drain()).containsExactly("urgent", "sooner", "later")
    }

    @Test
    fun `calls that are too late leave the queue`() {
        add("a", "late", latestStartMs = 5)
        add("a", "in time", latestStartMs = 50)
        expectThat(queue.removeExpired(10).map { it.item }).containsExactly("late")
        expectThat(drain()).containsExactly("in time")
    }

    @Test
    fun `a request is admitted while queues and stages fit into its time`() {
        val stages = listOf(StageForecast(waiting = 10, running = 5, concurrency = 5, meanMs = 100.0, boundMs = 150.0))
        expectThat(DeadlineAdmission.decide(350, stages)).isEqualTo(AdmissionDecision.Admit)
        expectThat(DeadlineAdmission.decide(349, stages)).isA<AdmissionDecision.Refuse>()
        expectThat(AdmitAll.decide(0, stages)).isEqualTo(AdmissionDecision.Admit)
    }

    @Test
    fun `an idle stage takes a request whatever its estimate says`() {
        val slow = StageForecast(waiting = 0, running = 0, concurrency = 5, meanMs = 9_000.0, boundMs = 9_000.0)
        expectThat(DeadlineAdmission.decide(1_000, listOf(slow))).isEqualTo(AdmissionDecision.Admit)
        expectThat(DeadlineAdmission.decide(1_000, listOf(slow.copy(running = 1)))).isA<AdmissionDecision.Refuse>()
    }

    @Test
    fun `an estimate follows what is observed and goes back to the declared time when nothing is`() {
        val durations = StageDurationEstimator<String>()
        repeat(100) { durations.observe("s", tookMs = 5_000.0, declaredMs = 100.0, nowMs = 0) }
        expectThat(durations.meanMs("s", 100.0, nowMs = 0)).isGreaterThan(4_900.0)
        expectThat(durations.boundMs("s", 100.0, nowMs = 20_000)).isLessThan(110.0)
    }
}
