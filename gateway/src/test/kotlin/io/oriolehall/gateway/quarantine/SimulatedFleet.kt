package io.oriolehall.gateway.quarantine

import io.oriolehall.model.EndpointId
import io.oriolehall.policy.quarantine.Fingerprint
import io.oriolehall.policy.quarantine.RequestFingerprints
import io.oriolehall.runtime.EventLog
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Instances that exchange what they know of crashing requests, in simulated time, in front of endpoints that crash when
 * they begin to answer a request with one certain part. Callers send requests to random instances.
 *
 * @param crashingShare share of the requests that have the part.
 */
internal class SimulatedFleet(
    private val instanceCount: Int,
    private val endpointCount: Int,
    private val requestsPerSecond: Double,
    private val crashingShare: Double,
    seed: Long,
) {
    private class Action(val atMs: Long, val order: Long, val run: () -> Unit)

    private class Running(val instance: Int, val endpoint: Int, val request: RequestFingerprints) {
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
        override fun tell(notice: CrashNotice, onSound: (List<Fingerprint>) -> Unit) {
            at(nowMs + NOTICE_MS) {
                val sound = instances.filterIndexed { index, _ -> index != self }.flatMap { it.onNotice(notice) }
                if (sound.isNotEmpty()) at(nowMs + NOTICE_MS) { onSound(sound.distinct()) }
            }
        }

        override suspend fun ask(): KnownCrashes? = null
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
        val parts = listOf("shared ${number % SHARED_PARTS}", "session ${random.nextInt(SESSIONS)}") +
            listOf("bad").filter { crashes }
        val fingerprints = RequestFingerprints(
            Fingerprint.ofRequest("s", "o", "/$number", parts, ByteArray(0)),
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
        if (crashes) {
            crashesAtMs += nowMs
            end(request.endpoint)
        } else {
            request.ended = true
            running -= request
            instances[request.instance].onAnswerBegun(request.request)
        }
    }

    private fun end(endpoint: Int) {
        downUntilMs[endpoint] = nowMs + DOWN_MS
        val lost = running.filter { it.endpoint == endpoint && !it.ended }
        running.removeAll(lost)
        for (request in lost) {
            request.ended = true
            instances[request.instance].onEndpointEnded(request.request, EndpointId("e$endpoint"))
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
