package io.oriolehall.dispatch.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

class SharedLimitsTest {
    @Test
    fun `all instances together stay within the repeats of any window`() {
        val instances = 7
        val allowances = List(instances) { RetryAllowance(0.2, 54.0, windowMs = 10_000, startedAtMs = -20_000) }
        val retries = mutableListOf<Long>()
        val firstAttempts = mutableListOf<Long>()
        for (nowMs in 0L until 60_000L step 20) {
            for (allowance in allowances) {
                if (nowMs % 400 == 0L) {
                    allowance.onFirstAttempt(nowMs)
                    firstAttempts += nowMs
                }
                if (allowance.tryAcquire(nowMs, instances)) retries += nowMs
            }
        }
        for (endMs in 10_000L..60_000L step 500) {
            val window = endMs - 10_000 until endMs
            expectThat(retries.count { it in window })
                .isLessThanOrEqualTo((0.2 * firstAttempts.count { it in window } + 54).toInt())
        }
    }

    @Test
    fun `a process that has just started repeats nothing, because the one before may have used the window`() {
        val allowance = RetryAllowance(0.2, 54.0, windowMs = 10_000, startedAtMs = 0)
        expectThat(allowance.tryAcquire(nowMs = 10, instances = 7)).isFalse()
        expectThat(allowance.tryAcquire(nowMs = 10_000, instances = 7)).isTrue()
    }

    /**
     * Guards against counting the start-up period from the first request to a service, which left no retries for
     * failures in the first seconds of its traffic.
     */
    @Test
    fun `a service that is used for the first time long after the start has its whole part`() {
        val allowances = RetryAllowances(0.2, 54.0, windowMs = 10_000, startedAtMs = 0)
        expectThat(allowances.of("s").tryAcquire(nowMs = 15_000, instances = 7)).isTrue()
        expectThat(allowances.of("s")).isEqualTo(allowances.of("s"))
    }

    /** Guards against a query that takes a retry, or that states another number than can be taken. */
    @Test
    fun `the stated number of retries can be taken, and asking for it takes none`() {
        val allowances = RetryAllowances(0.2, 54.0, windowMs = 10_000, startedAtMs = 0)
        repeat(7) { allowances.of("s").onFirstAttempt(12_000) }
        for (nowMs in listOf(12_000L, 18_000L, 22_000L, 22_001L)) {
            repeat(3) { allowances.available("s", nowMs, instances = 7) }
            val available = allowances.available("s", nowMs, instances = 7)
            expectThat((1..100).count { allowances.of("s").tryAcquire(nowMs, instances = 7) }).isEqualTo(available)
        }
        expectThat(allowances.available("unused", 12_000, instances = 7)).isEqualTo(6)
    }

    /** Guards against a query that forgets requests which still count. */
    @Test
    fun `asking for the limit of a cold endpoint changes nothing`() {
        val limit = ColdRateLimit()
        limit.onSent(0)
        expectThat(limit.allows(2_000, share = 1)).isTrue()
        expectThat(limit.sentInWindow(1_049)).isEqualTo(1)
        limit.onSent(2_000)
        expectThat(limit.sentInWindow(2_500)).isEqualTo(1)
        expectThat(limit.allows(2_500, share = 1)).isFalse()
    }

    private fun instances(count: Int) = List(count) { InstanceId("i-$it") }.toSet()

    /** Sends whenever the limits allow it. Returns the maximum number of requests sent in any second. */
    private fun maxRequestsInASecond(instances: Int, perSecond: Double): Int {
        val all = instances(instances)
        val shares = all.map { ColdRateShare(it, all).of(EndpointId("e"), perSecond) }
        val limits = List(instances) { ColdRateLimit() }
        val sentAtMs = mutableListOf<Long>()
        for (nowMs in 0L until 5_000L step 10) {
            limits.forEachIndexed { i, limit ->
                if (limit.allows(nowMs, shares[i])) {
                    limit.onSent(nowMs)
                    sentAtMs += nowMs
                }
            }
        }
        return (0L..4_000L step 10).maxOf { start -> sentAtMs.count { it in start until start + 1_000 } }
    }

    @Test
    fun `a cold endpoint gets no more than it bears from all senders together`() {
        expectThat(maxRequestsInASecond(instances = 7, perSecond = 24.5)).isEqualTo(21)
        expectThat(maxRequestsInASecond(instances = 80, perSecond = 21.5)).isLessThanOrEqualTo(21)
    }

    /**
     * Load: 168 requests per second over 80 instances and 63 endpoints, each of which can handle 21.5 while it is cold.
     */
    @Test
    fun `with more instances than a cold endpoint bears, each reaches enough endpoints for its part of the load`() {
        val all = instances(80)
        val endpoints = List(63) { EndpointId("e-$it") }
        val endpointsPerInstance = all.map { self ->
            val share = ColdRateShare(self, all)
            endpoints.sumOf { share.of(it, 21.5) }
        }
        expectThat(endpointsPerInstance).all { isGreaterThanOrEqualTo(5) }
        val sendersPerEndpoint = endpoints.map { endpoint -> all.sumOf { ColdRateShare(it, all).of(endpoint, 21.5) } }
        expectThat(sendersPerEndpoint).all { isEqualTo(17) }
    }
}
