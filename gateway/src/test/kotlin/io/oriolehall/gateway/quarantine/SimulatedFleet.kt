package io.oriolehall.gateway.quarantine

import io.oriolehall.model.EndpointId
import io.oriolehall.policy.quarantine.Fingerprint
import io.oriolehall.policy.quarantine.RequestFingerprints
import io.oriolehall.runtime.EventLog
import java.util.PriorityQueue
import kotlin.random.Random

/** When endpoints crash under a crashing request, and whether its callers send different requests or one only. */
internal enum class CrashKind(val amidAnswer: Boolean, val sameRequest: Boolean) {
    PART_BEFORE_ANSWER(amidAnswer = false, sameRequest = false),
    PART_AMID_ANSWER(amidAnswer = true, sameRequest = false),
    REQUEST_AMID_ANSWER(amidAnswer = true, sameRequest = true),
}

/**
 * Instances that exchange what they know of crashing requests, in simulated time, in front of endpoints that crash
 * under the requests with one certain part. Callers send requests to random instances.
 *
 * @param crashingShare share of the requests that have the part.
 * @param maxStreamMs longest time from the beginning of an answer to its end.
 */
internal class SimulatedFleet(
    private val instanceCount: Int,
    private val endpointCount: Int,
    private val requestsPerSecond: Double,
    private val crashingShare: Double,
    seed: Long,
    private val crashKind: CrashKind = CrashKind.PART_BEFORE_ANSWER,
    private val maxStreamMs: Long = 1,
) {
    private class Action(val atMs: Long, val order: Long, val run: () -> Unit)

    private class Running(val instance: Int, val endpoint: Int, val request: RequestFingerprints) {
        var begun = false
        var ended = false
    }

    private val random = Random(seed)
    private val actions = PriorityQueue(compareBy(Action::atMs, Action::order))
    private var order = 0L
    private var nowMs = 0L
    private val instances = Array(instanceCount) { newInstance(it) }
    private val running = mutableListOf<Running>()
    private val downUntilMs = LongArray(endpointCount)
    private var requestNumber = 0

    /** Times at which endpoints ended under a request with the part. */
    val crashesAtMs = mutableListOf<Long>()

    /** Times at which requests with the part were sent to endpoints. */
    val crashingSentAtMs = mutableListOf<Long>()
    var soundSent = 0
        private set
    var soundRefused = 0
        private set

    fun run(untilMs: Long) {
        scheduleNextRequest()
        while (true) {
            val action = actions.poll() ?: return
            if (action.atMs > untilMs) return
            nowMs = action.atMs
            action.run()
        }
    }

    /** Ends [count] endpoints at [atMs] for a reason that no request has. */
    fun endEndpoints(
        atMs: Long,
        count: Int,
    ) = at(atMs) { (0 until endpointCount).shuffled(random).take(count).forEach(::end) }

    /** Replaces every instance in turn by one that knows nothing, [intervalMs] apart. */
    fun restartInstances(fromMs: Long, intervalMs: Long) = repeat(instanceCount) { index ->
        at(fromMs + index * intervalMs) {
            running.filter { it.instance == index }.forEach { it.ended = true }
            instances[index] = newInstance(index)
            val other = instances[(index + 1) % instanceCount]
            instances[index].onNotice(CrashNotice(other.known()))
        }
    }

    private fun at(atMs: Long, run: () -> Unit) {
        actions += Action(atMs, order++, run)
    }

    private fun newInstance(index: Int) = CrashQuarantine(Exchange(index), EventLog { _, _ -> }) { nowMs }

    private inner class Exchange(private val self: Int) : CrashExchange {
        override fun tell(notice: CrashNotice, onCleared: (ClearedFingerprints) -> Unit) {
            at(nowMs + NOTICE_MS) {
                val cleared = instances.filterIndexed { index, _ -> index != self }.map { it.onNotice(notice) }
                    .fold(ClearedFingerprints(), ClearedFingerprints::plus)
                if (!cleared.isEmpty) at(nowMs + NOTICE_MS) { onCleared(cleared) }
            }
        }

        override suspend fun ask(query: CrashQuery): KnownCrashes? = null
    }

    private fun scheduleNextRequest() {
        at(nowMs + (random.nextDouble() * 2_000 / requestsPerSecond).toLong()) {
            send()
            scheduleNextRequest()
        }
    }

    private fun send() {
        val number = requestNumber++
        val crashes = random.nextDouble() < crashingShare
        val repeats = crashes && crashKind.sameRequest
        val session = if (repeats) "bad" else "${random.nextInt(SESSIONS)}"
        val shared = if (repeats) 0 else number % SHARED_PARTS
        val parts = listOf("shared $shared", "session $session") + listOf("bad").filter { crashes && !repeats }
        val fingerprints = RequestFingerprints(
            Fingerprint.ofRequest("s", "o", if (repeats) "/bad" else "/$number", parts, ByteArray(0)),
            parts.map { Fingerprint.ofPromptPart("s", it) },
        )
        val instance = random.nextInt(instanceCount)
        if (instances[instance].refusal(fingerprints) != null) {
            if (!crashes) soundRefused++
            return
        }
        val endpoint = (0 until endpointCount).filter { downUntilMs[it] <= nowMs }.randomOrNull(random) ?: return
        if (crashes) crashingSentAtMs += nowMs else soundSent++
        val request = Running(instance, endpoint, fingerprints)
        running += request
        at(nowMs + random.nextLong(MIN_ANSWER_MS, MAX_ANSWER_MS)) { if (!request.ended) begin(request, crashes) }
    }

    private fun begin(request: Running, crashes: Boolean) {
        if (crashes && !crashKind.amidAnswer) {
            crash(request)
            return
        }
        request.begun = true
        instances[request.instance].onAnswerBegun(request.request)
        at(nowMs + random.nextLong(maxStreamMs)) {
            when {
                request.ended -> Unit
                crashes -> crash(request)
                else -> complete(request)
            }
        }
    }

    private fun crash(request: Running) {
        crashesAtMs += nowMs
        end(request.endpoint)
    }

    private fun complete(request: Running) {
        request.ended = true
        running -= request
        instances[request.instance].onAnswerCompleted(request.request)
    }

    private fun end(endpoint: Int) {
        downUntilMs[endpoint] = nowMs + DOWN_MS
        val lost = running.filter { it.endpoint == endpoint && !it.ended }
        running.removeAll(lost)
        lost.forEach { it.ended = true }
        for ((instance, requests) in lost.groupBy(Running::instance)) {
            val runs = requests.map { LostRequest(it.request, it.begun) }
            instances[instance].onEndpointEnded(EndpointId("e$endpoint"), runs)
        }
    }

    private companion object {
        const val NOTICE_MS = 5L
        const val SHARED_PARTS = 3
        const val SESSIONS = 400
        const val MIN_ANSWER_MS = 100L
        const val MAX_ANSWER_MS = 600L
        const val DOWN_MS = 3_000L
    }
}
