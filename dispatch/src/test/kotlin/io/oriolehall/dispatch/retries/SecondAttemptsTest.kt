package io.oriolehall.dispatch.retries

import io.oriolehall.dispatch.config.Route
import io.oriolehall.dispatch.config.RouteKind
import io.oriolehall.dispatch.config.StageSpec
import io.oriolehall.dispatch.endpoints.EndpointCondition
import io.oriolehall.dispatch.endpoints.EndpointHealth
import io.oriolehall.dispatch.endpoints.EndpointPause
import io.oriolehall.dispatch.endpoints.SendObstacle
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

class SecondAttemptsTest {
    private val limits = SecondAttemptLimits(requestShare = 0.1, workShare = 0.1)
    private val slow = SlowRequest(
        sentAttempts = 1,
        maxAttempts = 2,
        remainingMs = 1_000,
        neededMs = 200,
        idleCapacity = true,
        endpointFree = true,
    )

    private fun observed(vararg timesMs: Long) = ResponseTimes().apply { timesMs.forEach { record(it, nowMs = 0) } }

    /** Guards against a delay from so few response times that requests of ordinary speed get second attempts. */
    @Test
    fun `a quantile needs nine observations, and no estimate exceeds the largest one`() {
        expectThat(observed(1, 2, 3, 4, 5, 6, 7, 8).quantile(0.9, 0)).isNull()
        val nine = observed(9, 1, 8, 2, 7, 3, 6, 4, 5)
        expectThat(nine.quantile(0.5, 0)).isEqualTo(5)
        expectThat(nine.quantile(0.9, 0)).isEqualTo(9)
        expectThat(nine.quantile(0.98, 0)).isEqualTo(9)
    }

    @Test
    fun `with more observations a few slow responses no longer determine the delay`() {
        val times = observed(*LongArray(47) { 50 }, 900, 900)
        expectThat(times.quantile(0.9, 0)).isEqualTo(50)
        expectThat(times.quantile(0.98, 0)).isEqualTo(900)
    }

    @Test
    fun `old response times are forgotten, and only the last ones count`() {
        val times = observed(*LongArray(20) { 50 })
        expectThat(times.quantile(0.9, ResponseTimes.MAX_AGE_MS)).isNull()
        repeat(ResponseTimes.MAX_OBSERVATIONS) { times.record(70, nowMs = 1) }
        expectThat(times.quantile(0.02, 2)).isEqualTo(70)
    }

    /** Guards against a share that an instance with few requests could never use, or would exceed after a start. */
    @Test
    fun `each request saves its share, and a second attempt needs a whole one`() {
        val budget = SecondAttemptBudget(limits)
        budget.onFirstAttemptEnded(10_000)
        repeat(9) { budget.onFirstAttempt() }
        expectThat(budget.obstacle(50)).isEqualTo(SecondAttemptObstacle.REQUEST_SHARE)
        budget.onFirstAttempt()
        expectThat(budget.obstacle(50)).isNull()
        budget.reserve(50)
        expectThat(budget.obstacle(50)).isEqualTo(SecondAttemptObstacle.REQUEST_SHARE)
    }

    /** Guards against a limit that a large fleet never uses because each instance sees only a few requests. */
    @Test
    fun `many instances with few requests each send the share of second attempts together`() {
        val random = Random(1)
        val small = SecondAttemptLimits(requestShare = 0.05, workShare = 0.05)
        val sent = (1..1_000).sumOf {
            val budget = SecondAttemptBudget(small, random.nextDouble())
            (1..7).count {
                budget.onFirstAttempt()
                budget.onFirstAttemptEnded(50)
                (budget.obstacle(50) == null).also { if (it) budget.reserve(50) }
            }
        }
        expectThat(sent).isIn(300..400)
    }

    /** Guards against a route with few requests that gets no second attempts although its service is well known. */
    @Test
    fun `a route with few observations uses the response times of its service`() {
        val attempts = SecondAttempts(limits, NO_INITIAL_CREDIT)
        repeat(8) { attempts.onPlainResponse("s", 40, nowMs = 0) }
        expectThat(attempts.onFirstAttempt("r", "s", 1)).isNull()
        attempts.onPlainResponse("s", 90, nowMs = 1)
        expectThat(attempts.onFirstAttempt("r", "s", 2)).isEqualTo(SecondAttemptPlan(delayMs = 90, expectedMs = 40))
    }

    /** Guards against a service that seems idle because most of its requests may not be repeated. */
    @Test
    fun `requests that get no second attempt take capacity too`() {
        val attempts = SecondAttempts(limits, NO_INITIAL_CREDIT)
        repeat(20) { attempts.onPlainResponse("s", 1_000, nowMs = 1_000L * (it + 1)) }
        expectThat(attempts.hasIdleCapacity("s", nowMs = 20_000, slots = 8, instances = 8)).isFalse()
    }

    @Test
    fun `a quiet time saves no more than two second attempts`() {
        val budget = SecondAttemptBudget(limits)
        budget.onFirstAttemptEnded(10_000)
        repeat(1_000) { budget.onFirstAttempt() }
        repeat(2) {
            expectThat(budget.obstacle(50)).isNull()
            budget.reserve(50)
        }
        expectThat(budget.obstacle(50)).isEqualTo(SecondAttemptObstacle.REQUEST_SHARE)
    }

    @Test
    fun `a second attempt that takes longer than expected is paid by later requests`() {
        val budget = SecondAttemptBudget(limits)
        repeat(20) { budget.onFirstAttempt() }
        budget.onFirstAttemptEnded(1_000)
        budget.reserve(100)
        budget.settle(100, 300)
        budget.onFirstAttemptEnded(2_900)
        expectThat(budget.obstacle(100)).isEqualTo(SecondAttemptObstacle.WORK_SHARE)
        budget.onFirstAttemptEnded(100)
        expectThat(budget.obstacle(100)).isNull()
    }

    @Test
    fun `a service whose slots are nearly taken, or that declined a moment ago, has no idle capacity`() {
        val load = ServiceLoad()
        for (i in 1L..50) {
            load.onWork(100, nowMs = i * 500)
            // 0.2 requests in progress at each of 80 instances, from the first request on.
            expectThat(load.hasIdleCapacity(i * 500, slots = 12, instances = 80)).isFalse()
        }
        expectThat(load.hasIdleCapacity(25_000, slots = 24, instances = 80)).isTrue()
        expectThat(load.hasIdleCapacity(85_000, slots = 12, instances = 80)).isTrue()
        load.onSaturated(90_000)
        expectThat(load.hasIdleCapacity(90_900, slots = 24, instances = 80)).isFalse()
        expectThat(load.hasIdleCapacity(91_000, slots = 24, instances = 80)).isTrue()
        expectThat(load.hasIdleCapacity(91_000, slots = 0, instances = 1)).isFalse()
    }

    @Test
    fun `an endpoint that pauses, ramps up, is cold, excluded, unreachable, leaving or full gets no second attempt`() {
        val free = EndpointCondition(published = null, leaving = false, pause = null)
        fun permits(condition: EndpointCondition, cold: Boolean = false, nowMs: Long = 1_000) =
            SecondAttemptPolicy.permits(condition, cold, slots = 6, nowMs = nowMs)

        expectThat(permits(free)).isTrue()
        expectThat(permits(free.copy(outstanding = 5))).isTrue()
        expectThat(permits(free, cold = true)).isFalse()
        val ineligible = listOf(
            free.copy(pause = EndpointPause(untilMs = 2_000)),
            free.copy(pause = EndpointPause(untilMs = 900)),
            free.copy(excluded = true),
            free.copy(zoneUnreachable = true),
            free.copy(leaving = true),
            free.copy(published = SendObstacle.DRAINING),
            free.copy(published = SendObstacle.ZONE_EVACUATED),
            free.copy(withinColdLimit = false),
            free.copy(connectionFree = false),
            free.copy(outstanding = 6),
        )
        expectThat(ineligible.filter { permits(it) }).isEqualTo(emptyList())
        expectThat(permits(free.copy(pause = EndpointPause(untilMs = 900)), nowMs = 3_000)).isTrue()
    }

    @Test
    fun `only plain requests that may run twice are in scope`() {
        fun route(kind: RouteKind, stages: List<StageSpec> = emptyList(), maxAttempts: Int = 2) = Route(
            name = "r",
            host = "h",
            prefix = "/",
            kind = kind,
            timeoutMs = 1_000,
            objectiveMs = 500,
            priority = 0,
            targets = emptyList(),
            maxAttempts = maxAttempts,
            stages = stages,
            resumable = true,
        )
        expectThat(SecondAttemptPolicy.isInScope(route(RouteKind.IDEMPOTENT))).isTrue()
        expectThat(SecondAttemptPolicy.isInScope(route(RouteKind.IDEMPOTENT, maxAttempts = 1))).isFalse()
        expectThat(SecondAttemptPolicy.isInScope(route(RouteKind.AT_MOST_ONCE))).isFalse()
        expectThat(SecondAttemptPolicy.isInScope(route(RouteKind.STREAMING))).isFalse()
        val stages = listOf(StageSpec("s", after = emptyList(), resultBytes = 1))
        expectThat(SecondAttemptPolicy.isInScope(route(RouteKind.IDEMPOTENT, stages))).isFalse()
    }

    private fun warm() = SecondAttempts(limits, NO_INITIAL_CREDIT).apply {
        repeat(20) {
            onFirstAttempt("r", "s", nowMs = 0)
            onFirstAttemptEnded("r", "s", elapsedMs = 100, nowMs = 0)
        }
    }

    @Test
    fun `each limit refuses by its own name, and takes no permit of the retry budget`() {
        val second = warm()
        val plan = expectThat(second.onFirstAttempt("r", "s", 0)).isNotNull().subject
        var permits = 0
        fun obstacle(request: SlowRequest, granted: Boolean = true) = second.tryReserve("s", plan, request) {
            permits++
            granted
        }
        expectThat(obstacle(slow.copy(sentAttempts = 2))).isEqualTo(SecondAttemptObstacle.ROUTE_ATTEMPTS)
        expectThat(obstacle(slow.copy(remainingMs = 199))).isEqualTo(SecondAttemptObstacle.TIME_LEFT)
        expectThat(obstacle(slow.copy(idleCapacity = false))).isEqualTo(SecondAttemptObstacle.NO_CAPACITY)
        expectThat(obstacle(slow.copy(endpointFree = false))).isEqualTo(SecondAttemptObstacle.NO_ENDPOINT)
        expectThat(permits).isEqualTo(0)
        expectThat(obstacle(slow, granted = false)).isEqualTo(SecondAttemptObstacle.RETRY_BUDGET)
        expectThat(obstacle(slow)).isNull()
        expectThat(obstacle(slow)).isNull()
        expectThat(obstacle(slow)).isEqualTo(SecondAttemptObstacle.REQUEST_SHARE)
        expectThat(permits).isEqualTo(3)
    }

    /** Guards against the delay of one route or service for requests of another whose own times are known. */
    @Test
    fun `services do not share response times, nor do routes that are well observed`() {
        val second = warm()
        expectThat(second.onFirstAttempt("r", "other", 0)).isNull()
        repeat(9) { second.onFirstAttemptEnded("fast", "s", 10, nowMs = 0) }
        expectThat(second.onFirstAttempt("fast", "s", 0)).isEqualTo(SecondAttemptPlan(delayMs = 10, expectedMs = 10))
        expectThat(second.onFirstAttempt("r", "s", 0)).isEqualTo(SecondAttemptPlan(delayMs = 100, expectedMs = 100))
    }

    /** Guards against a cancelled attempt that makes a slow endpoint look fast, or excludes it as failed. */
    @Test
    fun `the time of a cancelled attempt can only raise the average response time`() {
        val health = EndpointHealth()
        health.onSuccess(100.0)
        health.onCancelled(50.0)
        expectThat(health.responseMs).isEqualTo(100.0)
        health.onCancelled(200.0)
        expectThat(health.responseMs).isEqualTo(120.0)
        expectThat(health.failureRate).isEqualTo(0.0)
        expectThat(health.isExcluded(0)).isFalse()
        expectThat(EndpointHealth().apply { onCancelled(70.0) }.hasResponded).isFalse()
    }

    private companion object {
        /** Draws 0, so that a budget starts empty. */
        val NO_INITIAL_CREDIT = object : Random() {
            override fun nextBits(bitCount: Int): Int = 0
        }
    }
}
