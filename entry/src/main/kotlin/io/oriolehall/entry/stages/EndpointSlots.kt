package io.oriolehall.entry.stages

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.oriolehall.entry.limits.ConcurrencyLimits
import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.PoolId
import io.oriolehall.model.Stage
import io.oriolehall.model.ZoneId
import io.oriolehall.policy.admission.AdmissionDecision
import io.oriolehall.policy.admission.AdmissionPolicy
import io.oriolehall.policy.admission.FairQueue
import io.oriolehall.policy.admission.StageDurationEstimator
import io.oriolehall.policy.admission.StageForecast
import io.oriolehall.policy.admission.WaitingCall
import io.oriolehall.policy.config.ConfigSnapshot
import io.oriolehall.policy.limits.CallResult
import io.oriolehall.policy.limits.CreditTiming
import io.oriolehall.policy.routing.CallContext
import io.oriolehall.policy.routing.Candidate
import io.oriolehall.policy.routing.EndpointPolicy
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

/** Why a stage call got no slot. */
sealed interface SlotRefusal {
    /** No endpoint of the pool takes new work. */
    data object NoEndpoint : SlotRefusal

    /** The request cannot make its deadline any more. */
    data class TooLate(val expectedMs: Long, val retryAfterMs: Long) : SlotRefusal
}

/** The right to one call at an endpoint. */
data class EndpointSlot(val endpoint: Endpoint, val startedMs: Long)

/**
 * Hands stage calls to endpoints: each call waits in its pool's queue until an endpoint has room, is told at once when
 * it cannot make its deadline, and is taken out of the queue when it is too late for it.
 */
class EndpointSlots(
    private val zone: ZoneId,
    private val config: () -> ConfigSnapshot,
    private val policy: EndpointPolicy,
    private val limits: ConcurrencyLimits,
    private val admission: AdmissionPolicy,
    private val scope: CoroutineScope,
    private val timers: TimerService,
    private val drainMs: Long = CreditTiming().drainMs,
) {
    private class Waiter(val stage: Stage, val context: CallContext, val tried: Set<EndpointId>) {
        val granted = CompletableDeferred<EndpointSlot?>()
    }

    private class Line {
        val queue = FairQueue<Waiter>()
        var running = 0
    }

    private val lines = ConcurrentHashMap<PoolId, Line>()
    private val outstanding = OutstandingCalls()
    private val avoidedUntilMs = ConcurrentHashMap<EndpointId, Long>()
    private val durations = StageDurationEstimator<Pair<PoolId, String>>()

    /** Starts the limits' periodic work. */
    fun start() = limits.start { lines.keys.forEach(::serve) }

    /** Waits for the right to call [stage]; [tried] endpoints are left out. */
    suspend fun acquire(
        stage: Stage,
        input: String,
        context: StageContext,
        tried: Set<EndpointId>,
    ): Result<EndpointSlot, SlotRefusal> {
        if (endpoints(stage.pool, tried).isEmpty()) return Err(SlotRefusal.NoEndpoint)
        val remaining = context.request.deadlineMs - timers.nowMs()
        val decision = admission.decide(remaining, forecast(stage, context))
        if (decision is AdmissionDecision.Refuse) {
            return Err(SlotRefusal.TooLate(decision.expectedMs, decision.retryAfterMs))
        }
        val slot = await(waiting(stage, input, context, tried)) ?: return Err(SlotRefusal.TooLate(remaining, LATE_MS))
        return Ok(slot)
    }

    /**
     * Gives [slot] back after a call of [stage] that ended with [result].
     *
     * @param stop set when the endpoint may go on with the call although this instance has given it up: asks the
     *   endpoint to stop and tells whether it has. Until then, or until no call lasts any longer, the call counts.
     */
    fun finish(
        slot: EndpointSlot,
        stage: Stage,
        result: CallResult,
        firstOutputMs: Double,
        stop: (suspend () -> Boolean)? = null,
    ) {
        val took = timers.nowMs() - slot.startedMs
        if (result == CallResult.COMPLETED) observe(stage, took)
        if (stop == null) return giveBack(slot, stage, result, firstOutputMs)
        scope.launch {
            withTimeoutOrNull(maxOf(drainMs - took, MIN_STOP_MS)) {
                while (!stop()) delay(STOP_RETRY_MS)
            }
            giveBack(slot, stage, result, firstOutputMs)
        }
    }

    /**
     * Sends nothing to [endpoint], which refused a connection, until its owner may have learnt of it. Such calls end at
     * once, so that an endpoint which is gone looks idle and would draw one waiting call after the other.
     */
    fun onUnreachable(endpoint: Endpoint) {
        avoidedUntilMs[endpoint.id] = timers.nowMs() + AVOID_MS
        timers.after("unreachable endpoint", AVOID_MS) { serve(endpoint.pool) }
    }

    private fun observe(stage: Stage, tookMs: Long) =
        durations.observe(stage.key(), tookMs.toDouble(), stage.declaredMs(), timers.nowMs())

    /** What [decide] says; unless that is true, [slot] is given back, also when the request is cancelled meanwhile. */
    suspend fun keepIf(slot: EndpointSlot, stage: Stage, decide: suspend () -> Boolean): Boolean {
        var kept = false
        try {
            kept = decide()
            return kept
        } finally {
            if (!kept) finish(slot, stage, CallResult.CANCELLED, firstOutputMs = 0.0)
        }
    }

    private fun giveBack(slot: EndpointSlot, stage: Stage, result: CallResult, firstOutputMs: Double) {
        limits.finish(slot.endpoint, result, firstOutputMs)
        outstanding.end(slot.endpoint.id)
        val line = line(stage.pool)
        synchronized(line) { line.running-- }
        serve(stage.pool)
    }

    private suspend fun await(call: WaitingCall<Waiter>): EndpointSlot? {
        val pool = call.item.stage.pool
        val line = line(pool)
        synchronized(line) { line.queue.add(call) }
        serve(pool)
        var taken = false
        try {
            return call.item.granted.await().also { taken = true }
        } finally {
            if (!taken) abandon(line, call)
        }
    }

    private fun abandon(line: Line, call: WaitingCall<Waiter>) {
        synchronized(line) { line.queue.remove(call) }
        call.item.granted.invokeOnCompletion { failure ->
            val slot = if (failure == null) call.item.granted.getCompleted() else null
            if (slot != null) giveBack(slot, call.item.stage, CallResult.CANCELLED, 0.0)
        }
        call.item.granted.complete(null)
    }

    /** Starts as many waiting calls of [pool] as there is room for. */
    private fun serve(pool: PoolId) {
        val line = line(pool)
        synchronized(line) {
            line.queue.removeExpired(timers.nowMs()).forEach { it.item.granted.complete(null) }
            while (true) {
                var slot: EndpointSlot? = null
                val call = line.queue.pollFirst { waiting -> take(waiting.item).also { slot = it } != null } ?: break
                line.running++
                call.item.granted.complete(slot)
            }
            endpoints(pool, emptySet()).forEach { limits.setWaitingCalls(it, line.queue.size) }
        }
    }

    private fun take(waiter: Waiter): EndpointSlot? {
        val candidates = endpoints(waiter.stage.pool, waiter.tried)
            .filter { room(it) > 0 }
            .map { Candidate(it, outstanding.count(it.id)) }
        val endpoint = policy.choose(candidates, waiter.context)?.endpoint ?: return null
        if (!limits.tryStart(endpoint)) return null
        outstanding.begin(endpoint.id)
        return EndpointSlot(endpoint, timers.nowMs())
    }

    private fun room(endpoint: Endpoint): Int =
        if (timers.nowMs() < (avoidedUntilMs[endpoint.id] ?: Long.MIN_VALUE)) 0 else limits.room(endpoint)

    private fun waiting(stage: Stage, input: String, context: StageContext, tried: Set<EndpointId>) = WaitingCall(
        organisation = context.request.organisation.id,
        share = context.request.organisation.share,
        priority = context.request.body.priority,
        latestStartMs = context.request.deadlineMs - remainingStages(stage, context).sumOf { boundMs(it) }.toLong(),
        item = Waiter(stage, CallContext(context.request.organisation.id, zone, input), tried),
    )

    private fun forecast(stage: Stage, context: StageContext): List<StageForecast> =
        remainingStages(stage, context).map { ahead ->
            val line = line(ahead.pool)
            val (waiting, running) = synchronized(line) {
                line.queue.callsAhead(context.request.organisation.id) to line.running
            }
            val free = endpoints(ahead.pool, emptySet()).sumOf { minOf(room(it), MAX_ROOM) }
            StageForecast(waiting, running, running + free, meanMs(ahead), boundMs(ahead))
        }

    private fun remainingStages(stage: Stage, context: StageContext): List<Stage> =
        context.request.pipeline.stages.dropWhile { it != stage }

    private fun meanMs(stage: Stage): Double = durations.meanMs(stage.key(), stage.declaredMs(), timers.nowMs())

    private fun boundMs(stage: Stage): Double = durations.boundMs(stage.key(), stage.declaredMs(), timers.nowMs())

    private fun Stage.declaredMs() = expectedMs.toDouble()

    private fun endpoints(pool: PoolId, tried: Set<EndpointId>): List<Endpoint> {
        val snapshot = config()
        return snapshot.endpointsByPool[pool].orEmpty().filter { it.id !in tried && snapshot.acceptsNewWork(it) }
    }

    private fun line(pool: PoolId): Line = lines.computeIfAbsent(pool) { Line() }

    private fun Stage.key() = pool to name

    private companion object {
        /** Room of an endpoint without a limit, as far as forecasts go. */
        const val MAX_ROOM = 64

        /** Least time for asking an endpoint to stop a call, milliseconds. */
        const val MIN_STOP_MS = 1_000L
        const val STOP_RETRY_MS = 500L

        /** How long an endpoint that refused a connection is left out, milliseconds: two renewals under demand. */
        const val AVOID_MS = 500L

        /** When to try again after a wait that was too long, milliseconds. */
        const val LATE_MS = 500L
    }
}
