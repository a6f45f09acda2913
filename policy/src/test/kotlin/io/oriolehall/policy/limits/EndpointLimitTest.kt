package io.oriolehall.policy.limits

import io.oriolehall.model.LoadReport
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class EndpointLimitTest {
    private val limit = EndpointLimit(coldLimit = 2, warmLimit = 16)
    private val warm = LoadReport(running = 0, queued = 0, limit = 16, warm = true, startedAtMs = 1)
    private var nowMs = 0L

    private fun warmUp() = repeat(12) {
        limit.onReport(warm, nowMs)
        limit.onWork(ObservedWork(completed = 5, meanMs = 100.0), nowMs)
        nowMs += 500
    }

    @Test
    fun `a cold endpoint keeps its cold limit and a warm one ramps up to the warm limit`() {
        repeat(10) {
            limit.onReport(warm.copy(warm = false, limit = 2), nowMs)
            nowMs += 500
        }
        expectThat(limit.limit(nowMs)).isEqualTo(2)
        warmUp()
        expectThat(limit.limit(nowMs)).isEqualTo(16)
    }

    @Test
    fun `another start time makes it cold although the report says warm`() {
        warmUp()
        limit.onReport(warm.copy(startedAtMs = 2), nowMs)
        expectThat(limit.limit(nowMs)).isEqualTo(2)
        expectThat(limit.coldCause).isEqualTo(ColdCause.RESTARTED)
    }

    @Test
    fun `slow first outputs make it cold before any report does`() {
        warmUp()
        limit.onWork(ObservedWork(completed = 4, meanMs = 300.0), nowMs)
        expectThat(limit.limit(nowMs)).isEqualTo(2)
        expectThat(limit.coldCause).isEqualTo(ColdCause.SLOW_FIRST_OUTPUT)
    }

    @Test
    fun `failures stop all calls, then one probe at a time, and success starts the ramp`() {
        warmUp()
        limit.onWork(ObservedWork(failed = 3), nowMs)
        expectThat(limit.limit(nowMs)).isEqualTo(0)
        expectThat(limit.limit(nowMs + 1_000)).isEqualTo(1)
        limit.onWork(ObservedWork(failed = 1), nowMs + 1_000)
        expectThat(limit.limit(nowMs + 2_900)).isEqualTo(0)
        expectThat(limit.limit(nowMs + 3_000)).isEqualTo(1)
        limit.onWork(ObservedWork(completed = 1, meanMs = 100.0), nowMs + 3_000)
        expectThat(limit.limit(nowMs + 3_000)).isEqualTo(2)
    }

    @Test
    fun `a new process behind an open circuit gets its cold limit at once`() {
        warmUp()
        limit.onWork(ObservedWork(failed = 3), nowMs)
        limit.onReport(warm.copy(startedAtMs = 2, warm = false, limit = 2), nowMs)
        expectThat(limit.limit(nowMs)).isEqualTo(2)
        expectThat(limit.coldCause).isEqualTo(ColdCause.REPORTED)
    }

    @Test
    fun `declined calls halve the limit`() {
        warmUp()
        limit.onWork(ObservedWork(declined = 1), nowMs)
        expectThat(limit.limit(nowMs)).isEqualTo(8)
    }
}
