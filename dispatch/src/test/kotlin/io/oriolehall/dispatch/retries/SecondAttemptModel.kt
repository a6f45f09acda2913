package io.oriolehall.dispatch.retries

import io.oriolehall.dispatch.endpoints.EndpointCondition
import io.oriolehall.dispatch.load.Timeline
import kotlin.math.ln
import kotlin.random.Random

/**
 * A simulated deployment: instances that decide on second attempts each by its own observations, and endpoints with
 * slots and a queue, which drop a request whose connection closes. The retry budget does not limit the attempts.
 *
 * @param limits limits of second attempts, or null to send none.
 */
internal class SecondAttemptModel(
    private val limits: SecondAttemptLimits?,
    private val requestsPerSecond: Double,
    seed: Long,
) {
    // Separate sources, so that the same requests meet the same slow phases with and without second attempts.
    private val arrivalRandom = Random(seed)
    private val phaseRandom = Random(seed + 1_000)
    private val secondRandom = Random(seed + 2_000)
    private val budgetRandom = Random(seed + 3_000)
    private val timeline = Timeline()
    private val endpoints = List(ENDPOINTS) { Endpoint() }
    private val instances = List(INSTANCES) { Instance() }

    val responseTimesMs = mutableListOf<Long>()
    var requests = 0
        private set
    var secondAttempts = 0
        private set
    var firstWorkMs = 0L
        private set
    var secondWorkMs = 0L
        private set

    fun simulate(durationMs: Long) {
        endpoints.forEach { it.scheduleSlowPhase() }
        scheduleArrival(durationMs)
        timeline.run(durationMs + DRAIN_MS)
    }

    private fun Random.exponential(mean: Double): Long = (-ln(1 - nextDouble()) * mean).toLong()

    private fun scheduleArrival(untilMs: Long) {
        timeline.schedule(arrivalRandom.exponential(MS_PER_SECOND / requestsPerSecond)) {
            if (timeline.nowMs < untilMs) {
                requests++
                instances.random(arrivalRandom).serve()
                scheduleArrival(untilMs)
            }
        }
    }

    private inner class Attempt(val endpoint: Endpoint, val serviceMs: Long, val onAnswered: (Attempt) -> Unit) {
        val sentAtMs = timeline.nowMs
        var ended = false
        val elapsedMs get() = timeline.nowMs - sentAtMs
    }

    private inner class Endpoint {
        private val queue = ArrayDeque<Attempt>()
        private var running = 0
        private var slow = false

        fun scheduleSlowPhase() {
            timeline.schedule(phaseRandom.exponential(SLOW_PHASE_INTERVAL_MS)) {
                slow = true
                timeline.schedule(SLOW_PHASE_MS) {
                    slow = false
                    scheduleSlowPhase()
                }
            }
        }

        fun send(attempt: Attempt) {
            queue.addLast(attempt)
            startNext()
        }

        fun cancel(attempt: Attempt) {
            attempt.ended = true
            if (!queue.remove(attempt)) running--
            startNext()
        }

        private fun startNext() {
            while (running < SLOTS && queue.isNotEmpty()) {
                val attempt = queue.removeFirst()
                running++
                val factor = if (slow) SLOW_FACTOR else 1
                timeline.schedule(attempt.serviceMs * factor) { end(attempt) }
            }
        }

        private fun end(attempt: Attempt) {
            if (attempt.ended) return
            attempt.ended = true
            running--
            startNext()
            attempt.onAnswered(attempt)
        }
    }

    private inner class Instance {
        private val second = limits?.let { SecondAttempts(it, budgetRandom) }
        private val outstanding = HashMap<Endpoint, Int>()

        fun serve() {
            val attempts = mutableListOf<Attempt>()
            var reserved: SecondAttemptPlan? = null
            fun send(endpoint: Endpoint, random: Random) {
                outstanding.merge(endpoint, 1, Int::plus)
                val serviceMs = MIN_SERVICE_MS + random.exponential(MEAN_EXTRA_MS)
                val attempt = Attempt(endpoint, serviceMs) { winner -> complete(attempts, winner, reserved) }
                attempts += attempt
                endpoint.send(attempt)
            }
            val plan = second?.onFirstAttempt(ROUTE, SERVICE, timeline.nowMs)
            send(leastOutstanding(endpoints, arrivalRandom), arrivalRandom)
            if (plan == null) return
            timeline.schedule(plan.delayMs) {
                val first = attempts.single()
                val endpoint = if (first.ended) null else endpointForSecond(first, plan)
                if (endpoint != null) {
                    reserved = plan
                    secondAttempts++
                    send(endpoint, secondRandom)
                }
            }
        }

        private fun leastOutstanding(candidates: List<Endpoint>, random: Random): Endpoint =
            candidates.shuffled(random).minBy { outstanding[it] ?: 0 }

        private fun endpointForSecond(first: Attempt, plan: SecondAttemptPlan): Endpoint? {
            val nowMs = timeline.nowMs
            val permitted = (endpoints - first.endpoint).filter {
                val condition = EndpointCondition(
                    null,
                    leaving = false,
                    pause = null,
                    outstanding =
                    outstanding[it] ?: 0,
                )
                SecondAttemptPolicy.permits(condition, cold = false, SLOTS, nowMs)
            }
            val request = SlowRequest(
                sentAttempts = 1,
                maxAttempts = 2,
                remainingMs = Long.MAX_VALUE,
                neededMs = plan.delayMs,
                idleCapacity = second!!.hasIdleCapacity(SERVICE, nowMs, SLOTS * ENDPOINTS, INSTANCES),
                endpointFree = permitted.isNotEmpty(),
            )
            val obstacle = second.tryReserve(SERVICE, plan, request) { true }
            return if (obstacle == null) leastOutstanding(permitted, secondRandom) else null
        }

        private fun complete(attempts: List<Attempt>, winner: Attempt, plan: SecondAttemptPlan?) {
            responseTimesMs += attempts.first().elapsedMs
            attempts.filter { it !== winner }.forEach { it.endpoint.cancel(it) }
            attempts.forEach { outstanding.merge(it.endpoint, -1, Int::plus) }
            firstWorkMs += attempts.first().elapsedMs
            second?.onFirstAttemptEnded(ROUTE, SERVICE, attempts.first().elapsedMs, timeline.nowMs)
            if (plan == null) return
            secondWorkMs += attempts.last().elapsedMs
            second?.onSecondAttemptEnded(SERVICE, plan, attempts.last().elapsedMs, timeline.nowMs)
        }
    }

    private companion object {
        const val INSTANCES = 80
        const val ENDPOINTS = 4
        const val SLOTS = 6
        const val ROUTE = "route"
        const val SERVICE = "service"
        const val MS_PER_SECOND = 1_000.0
        const val MIN_SERVICE_MS = 40L
        const val MEAN_EXTRA_MS = 30.0
        const val SLOW_FACTOR = 10L
        const val SLOW_PHASE_MS = 600L
        const val SLOW_PHASE_INTERVAL_MS = 20_000.0
        const val DRAIN_MS = 60_000L
    }
}
