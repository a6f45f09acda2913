package io.oriolehall.dispatch.retries

import kotlin.random.Random

/**
 * When a slow request gets a second attempt.
 *
 * @property delayMs time after the start of the first attempt, milliseconds.
 * @property expectedMs time that the second attempt is expected to take, milliseconds.
 */
data class SecondAttemptPlan(val delayMs: Long, val expectedMs: Long)

/**
 * Second attempts of this instance: the observed response times by route and service, and the budget and the load by
 * service. A route with few requests uses the response times of all plain requests of its service. Times are monotonic
 * milliseconds. Not thread-safe.
 *
 * @param random draws the initial credit of each budget.
 */
class SecondAttempts(private val limits: SecondAttemptLimits, private val random: Random = Random.Default) {
    private data class RouteKey(val route: String, val service: String)

    private class ServiceState(limits: SecondAttemptLimits, initialShare: Double) {
        val budget = SecondAttemptBudget(limits, initialShare)
        val load = ServiceLoad()
        val responseTimes = ResponseTimes()
    }

    private val responseTimes = RecentlyUsed<RouteKey, ResponseTimes>()
    private val services = RecentlyUsed<String, ServiceState>()

    /** Records the start of a first attempt. Returns when a second one is due; null with too few observations. */
    fun onFirstAttempt(route: String, service: String, nowMs: Long): SecondAttemptPlan? {
        val state = stateOf(service)
        state.budget.onFirstAttempt()
        return planFrom(timesOf(route, service), nowMs) ?: planFrom(state.responseTimes, nowMs)
    }

    private fun planFrom(times: ResponseTimes, nowMs: Long): SecondAttemptPlan? {
        val delayMs = times.quantile(limits.quantile, nowMs) ?: return null
        val expectedMs = times.quantile(MEDIAN, nowMs) ?: return null
        return SecondAttemptPlan(maxOf(delayMs, MIN_DELAY_MS), expectedMs)
    }

    /** Records a first attempt that was answered, or cancelled for a second one, after [elapsedMs]. */
    fun onFirstAttemptEnded(route: String, service: String, elapsedMs: Long, nowMs: Long) {
        timesOf(route, service).record(elapsedMs, nowMs)
        stateOf(service).budget.onFirstAttemptEnded(elapsedMs)
        onPlainResponse(service, elapsedMs, nowMs)
    }

    /** Records that [service] answered a plain request, which may be one that gets no second attempt. */
    fun onPlainResponse(service: String, elapsedMs: Long, nowMs: Long) {
        val state = stateOf(service)
        state.responseTimes.record(elapsedMs, nowMs)
        state.load.onWork(elapsedMs, nowMs)
    }

    /** Records that [service] lacked capacity for a request. */
    fun onSaturated(service: String, nowMs: Long) = stateOf(service).load.onSaturated(nowMs)

    fun hasIdleCapacity(service: String, nowMs: Long, slots: Int, instances: Int): Boolean =
        stateOf(service).load.hasIdleCapacity(nowMs, slots, instances)

    /**
     * Reserves a second attempt for [request]. Returns why it cannot have one, or null. [takeRetryPermit] takes a
     * permit of the retry budget and is called only if nothing else stands against the attempt.
     */
    fun tryReserve(
        service: String,
        plan: SecondAttemptPlan,
        request: SlowRequest,
        takeRetryPermit: () -> Boolean,
    ): SecondAttemptObstacle? {
        val budget = stateOf(service).budget
        val obstacle = SecondAttemptPolicy.obstacle(request) ?: budget.obstacle(plan.expectedMs)
        if (obstacle != null) return obstacle
        if (!takeRetryPermit()) return SecondAttemptObstacle.RETRY_BUDGET
        budget.reserve(plan.expectedMs)
        return null
    }

    /** Records that a reserved second attempt ended and took [elapsedMs] at its endpoint. */
    fun onSecondAttemptEnded(service: String, plan: SecondAttemptPlan, elapsedMs: Long, nowMs: Long) {
        stateOf(service).budget.settle(plan.expectedMs, elapsedMs)
        stateOf(service).load.onWork(elapsedMs, nowMs)
    }

    private fun timesOf(route: String, service: String) =
        responseTimes.getOrPut(RouteKey(route, service), ::ResponseTimes)

    private fun stateOf(service: String) = services.getOrPut(service) { ServiceState(limits, random.nextDouble()) }

    /** Bounds the memory when configurations with ever new routes or services come. */
    private class RecentlyUsed<K, V> : LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>?): Boolean = size > MAX_ENTRIES
    }

    private companion object {
        const val MEDIAN = 0.5

        /** Shorter delays are within the time that a busy instance takes to read a response that has arrived. */
        const val MIN_DELAY_MS = 10L
        const val MAX_ENTRIES = 1_000
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
