package io.oriolehall.dispatch.admission

import kotlin.random.Random

/**
 * Decides at the door whether a request with stages is let in, from the time that its stages take now.
 *
 * The load that it answers: more than the stage workers can bear, for longer than one objective. Letting everyone in
 * makes everyone late, since each stage has a large fixed time and one deadline covers all. Near the objective a
 * growing part is refused. Ranks that give way are refused entirely before they delay others; where requests of such a
 * rank use the same stages, the others are let in, because stage queues serve first who can still be on time. A request
 * that could not end before its deadline is refused in any case.
 */
class StageAdmission(private val random: Random = Random.Default) {
    sealed interface Decision {
        data object Admitted : Decision

        /** [retryAfterMs]: when the backlog will have gone, spread so that callers do not return together. */
        data class Refused(val retryAfterMs: Long) : Decision
    }

    /**
     * @param expectedMs time that the stages and the first event take now, milliseconds.
     * @param objectiveMs time left until the answer is late, milliseconds.
     * @param deadlineMs time left until the request is given up, milliseconds.
     * @param priority rank of the request, 0 is the most urgent.
     * @param othersGiveWay true when requests of a rank that gives way use the same stages.
     */
    fun decide(
        expectedMs: Double,
        objectiveMs: Long,
        deadlineMs: Long,
        priority: Int,
        othersGiveWay: Boolean,
    ): Decision {
        if (expectedMs > deadlineMs * DEADLINE_SHARE) return refuse(expectedMs, objectiveMs)
        if (objectiveMs <= 0) return Decision.Admitted
        if (othersGiveWay && !givesWay(priority)) return Decision.Admitted
        val share = BANDS[minOf(priority, BANDS.lastIndex)].refusedShare(expectedMs / objectiveMs)
        return if (random.nextDouble() < share) refuse(expectedMs, objectiveMs) else Decision.Admitted
    }

    private fun refuse(expectedMs: Double, objectiveMs: Long): Decision {
        val excessMs = (expectedMs - objectiveMs).coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)
        return Decision.Refused((excessMs * (1 + random.nextDouble())).toLong())
    }

    /** Expected time relative to the objective, from the first refusals to refusing all. */
    private class Band(val from: Double, val until: Double) {
        fun refusedShare(expected: Double): Double = (expected - from) / (until - from)
    }

    companion object {
        /** Part of the deadline that the expected time may take. */
        private const val DEADLINE_SHARE = 0.8

        /** By rank; the last one gives way. */
        private val BANDS = listOf(Band(1.1, 1.6), Band(1.0, 1.5), Band(0.9, 1.2))
        private const val MIN_RETRY_MS = 200.0
        private const val MAX_RETRY_MS = 2_000.0

        /** True when requests of rank [priority] are refused before they delay others. */
        fun givesWay(priority: Int): Boolean = priority >= BANDS.lastIndex
    }
}
