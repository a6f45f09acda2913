package io.oriolehall.dispatch.admission

import kotlin.random.Random

/**
 * Decides at the door whether a request with stages is let in, from the time that its stages take now.
 *
 * The load that it answers: bursts above what the stage workers can bear. Letting everyone in makes everyone late,
 * since each stage has a large fixed time and one deadline covers all. Above the objective a growing part is refused,
 * the least urgent first, so that those who are let in are on time. A request that could not end before its deadline is
 * refused in any case.
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
     */
    fun decide(expectedMs: Double, objectiveMs: Long, deadlineMs: Long, priority: Int): Decision {
        if (expectedMs > deadlineMs * DEADLINE_SHARE) return refuse(expectedMs, objectiveMs)
        if (objectiveMs <= 0) return Decision.Admitted
        val startsAt = FIRST_REFUSALS_AT - minOf(priority, LOWEST_RANK) * RANK_STEP
        val share = (expectedMs / objectiveMs - startsAt) / REFUSAL_SPAN
        return if (random.nextDouble() < share) refuse(expectedMs, objectiveMs) else Decision.Admitted
    }

    private fun refuse(expectedMs: Double, objectiveMs: Long): Decision {
        val excessMs = (expectedMs - objectiveMs).coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)
        return Decision.Refused((excessMs * (1 + random.nextDouble())).toLong())
    }

    private companion object {
        /** Part of the deadline that the expected time may take. */
        const val DEADLINE_SHARE = 0.8

        /** Expected time relative to the objective at which the most urgent requests begin to be refused. */
        const val FIRST_REFUSALS_AT = 1.1
        const val RANK_STEP = 0.1
        const val LOWEST_RANK = 2

        /** From the first refusals to refusing all of a rank, relative to the objective. */
        const val REFUSAL_SPAN = 0.5
        const val MIN_RETRY_MS = 200.0
        const val MAX_RETRY_MS = 2_000.0
    }
}
