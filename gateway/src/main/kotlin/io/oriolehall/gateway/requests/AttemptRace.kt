package io.oriolehall.gateway.requests

import io.oriolehall.dispatch.retries.SecondAttemptObstacle
import io.oriolehall.dispatch.retries.SecondAttemptPlan
import io.oriolehall.dispatch.retries.SecondAttempts
import io.oriolehall.dispatch.retries.SlowRequest
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.upstream.EndpointPool
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.write
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull

/** Cancels an attempt because another one at the same request was answered. */
internal class AttemptSuperseded : CancellationException("another attempt was answered")

/** Runs an attempt at an endpoint; see [AttemptSequence]. */
internal typealias AttemptRunner =
    suspend (pool: EndpointPool, attemptsBefore: Int, onStream: (() -> Unit)?) -> AttemptOutcome

/**
 * The first attempt of a plain repeatable request and, if it is slow and the limits permit it, a second one at another
 * endpoint. The first complete response wins, and the connection of the other attempt is closed. An attempt whose
 * response turns out to be a stream wins at its head, because the events of two runs must not be joined. Used on the
 * traffic thread only.
 */
internal class AttemptRace(
    private val context: RequestContext,
    private val environment: RequestEnvironment,
    private val endpoints: EndpointSelection,
    private val secondAttempts: SecondAttempts,
    private val attemptAt: AttemptRunner,
) {
    private val service = context.service
    private val running = mutableListOf<RunningAttempt>()

    /** The attempt with the first complete response, or whose stream is being forwarded. */
    private var winner: RunningAttempt? = null

    private class RunningAttempt(val pool: EndpointPool, val startedAtMs: Long) {
        lateinit var result: Deferred<AttemptOutcome>
        var endedAtMs: Long? = null

        fun elapsedMs(nowMs: Long): Long = (endedAtMs ?: nowMs) - startedAtMs
    }

    /** Returns the outcomes in the order in which the attempts ended; the last one is a response if there is one. */
    suspend fun run(pool: EndpointPool): List<AttemptOutcome> = coroutineScope {
        val plan = secondAttempts.onFirstAttempt(context.route.name, service, TrafficLoop.nowMs())
        val first = start(pool, attemptsBefore = 0)
        if (plan == null) {
            environment.metrics.recordSecondAttemptRefused(service, SecondAttemptObstacle.FEW_OBSERVATIONS)
            return@coroutineScope listOf(first.result.await()).also { recordFirst(first, it.single()) }
        }
        val second = startSecondIfSlow(first, plan)
        if (second != null) return@coroutineScope race(plan, first, second)
        listOf(first.result.await()).also { recordFirst(first, it.single()) }
    }

    private fun CoroutineScope.start(pool: EndpointPool, attemptsBefore: Int): RunningAttempt {
        val attempt = RunningAttempt(pool, TrafficLoop.nowMs())
        attempt.result = async(start = CoroutineStart.LAZY) {
            val outcome = attemptAt(pool, attemptsBefore) { claim(attempt) }
            if (outcome.isResponse) claim(attempt)
            outcome
        }
        attempt.result.invokeOnCompletion { attempt.endedAtMs = TrafficLoop.nowMs() }
        running += attempt
        attempt.result.start()
        return attempt
    }

    /** Makes [attempt] the winner and cancels the other one, or ends [attempt] if the other one has won. */
    private fun claim(attempt: RunningAttempt) {
        if (winner == null) winner = attempt
        if (winner !== attempt) throw AttemptSuperseded()
        running.filter { it !== attempt }.forEach { it.result.cancel(AttemptSuperseded()) }
    }

    private suspend fun CoroutineScope.startSecondIfSlow(
        first: RunningAttempt,
        plan: SecondAttemptPlan,
    ): RunningAttempt? {
        withTimeoutOrNull(plan.delayMs) { first.result.join() }
        // If the event loop is behind, a response may have arrived without having been read.
        if (environment.polls.ageMs >= MAX_POLL_AGE_MS) withTimeoutOrNull(POLL_MS) { first.result.join() }
        if (first.result.isCompleted || winner != null || environment.quarantine.refusal(context) != null) return null
        val pool = endpoints.forSecondAttempt()
        val obstacle = reserve(plan, endpointFree = pool != null)
        if (obstacle != null) environment.metrics.recordSecondAttemptRefused(service, obstacle)
        return if (pool == null || obstacle != null) null else start(pool, attemptsBefore = 1)
    }

    private fun reserve(plan: SecondAttemptPlan, endpointFree: Boolean): SecondAttemptObstacle? {
        val nowMs = TrafficLoop.nowMs()
        val instances = environment.instanceCount()
        val request = SlowRequest(
            sentAttempts = 1,
            maxAttempts = context.route.maxAttempts,
            remainingMs = context.remainingMs(nowMs),
            neededMs = plan.delayMs,
            idleCapacity = secondAttempts.hasIdleCapacity(service, nowMs, endpoints.slots(), instances),
            endpointFree = endpointFree,
        )
        return secondAttempts.tryReserve(service, plan, request) {
            environment.retryAllowance(service).tryAcquire(nowMs, instances)
        }
    }

    /** Waits until both attempts have ended: the first response ends the other attempt. */
    private suspend fun race(
        plan: SecondAttemptPlan,
        first: RunningAttempt,
        second: RunningAttempt,
    ): List<AttemptOutcome> {
        var result = "ended"
        try {
            val outcomes = running.associateWith { outcomeOf(it) }
            recordFirst(first, outcomes.getValue(first))
            val last = winner ?: running.maxBy { it.endedAtMs ?: 0 }
            context.trace.endpoint = last.pool.endpoint.id
            context.trace.endpointZone = last.pool.endpoint.zone
            result = when {
                winner === second && outcomes.getValue(second).isResponse -> "won"
                winner === first && outcomes.getValue(second) == AttemptOutcome.Superseded -> "lost"
                else -> "failed"
            }
            return running.sortedBy { it === last }.map(outcomes::getValue)
        } finally {
            onSecondEnded(second, plan, result)
        }
    }

    private suspend fun outcomeOf(attempt: RunningAttempt): AttemptOutcome {
        attempt.result.join()
        if (!attempt.result.isCancelled) return attempt.result.await()
        environment.metrics.recordAttempt(service, AttemptOutcome.Superseded)
        return AttemptOutcome.Superseded
    }

    /** Records the time of the first attempt: its response time, or a lower bound if it was superseded. */
    private fun recordFirst(first: RunningAttempt, outcome: AttemptOutcome) {
        if (outcome !is AttemptOutcome.Complete && outcome != AttemptOutcome.Superseded) return
        val nowMs = TrafficLoop.nowMs()
        secondAttempts.onFirstAttemptEnded(context.route.name, service, first.elapsedMs(nowMs), nowMs)
    }

    private fun onSecondEnded(second: RunningAttempt, plan: SecondAttemptPlan, result: String) {
        val nowMs = TrafficLoop.nowMs()
        val workMs = second.elapsedMs(nowMs)
        secondAttempts.onSecondAttemptEnded(service, plan, workMs, nowMs)
        environment.metrics.recordSecondAttempt(service, result, workMs)
        environment.log.write(
            Event.SECOND_ATTEMPT_ENDED,
            "request" to context.attemptId,
            "endpoint" to second.pool.endpoint.id,
            "delayMs" to plan.delayMs,
            "outcome" to result,
            "workMs" to workMs,
        )
    }

    private companion object {
        /** Age of the last poll of the sockets from which the event loop is polled again before a second attempt. */
        const val MAX_POLL_AGE_MS = 50L
        const val POLL_MS = 1L
    }
}
