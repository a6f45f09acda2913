package io.oriolehall.dispatch.admission

import kotlin.random.Random

/**
 * Admission control for requests with stages, based on how long their stages currently take.
 *
 * It handles overload of the stage workers that outlasts the latency objective of a request. Admitting every request
 * would make all of them late, because each stage has a large fixed cost and one deadline covers all stages. As the
 * expected time approaches and exceeds the objective, a growing share of requests is refused. Requests of the lowest
 * priority are shed first, before they delay others; where such requests use the same stages, all requests of higher
 * priority are admitted, because stage queues first serve the pieces that can still be on time. A request that cannot
 * meet its deadline is refused in any case.
 */
class StageAdmission(private val random: Random = Random.Default) {
    sealed interface Decision {
        data object Admitted : Decision

        /**
         * [retryAfterMs]: expected time until the backlog is cleared, with jitter so that callers do not retry
         * together.
         */
        data class Refused(val retryAfterMs: Long) : Decision
    }

    /**
     * @param expectedMs expected time until the first event under the current load, including all stages, milliseconds.
     * @param objectiveMs time left until the response is late, milliseconds.
     * @param deadlineMs time left until the request is abandoned, milliseconds.
     * @param priority priority of the request; 0 is the most urgent.
     * @param othersAreShedFirst true when requests that are shed first use the same stages.
     */
    fun decide(
        expectedMs: Double,
        objectiveMs: Long,
        deadlineMs: Long,
        priority: Int,
        othersAreShedFirst: Boolean,
    ): Decision {
        val certain = certainRefusal(expectedMs, objectiveMs, deadlineMs, priority, othersAreShedFirst)
        val refused = certain ?: (random.nextDouble() < bandProbability(expectedMs, objectiveMs, priority))
        return if (refused) refuse(expectedMs, objectiveMs) else Decision.Admitted
    }

    /** Probability, 0 to 1, with which [decide] refuses a request; the parameters are the same. */
    fun refusalProbability(
        expectedMs: Double,
        objectiveMs: Long,
        deadlineMs: Long,
        priority: Int,
        othersAreShedFirst: Boolean,
    ): Double = when (certainRefusal(expectedMs, objectiveMs, deadlineMs, priority, othersAreShedFirst)) {
        true -> 1.0
        false -> 0.0
        null -> bandProbability(expectedMs, objectiveMs, priority)
    }

    /** True or false when the request is refused or admitted in any case, null when a random number decides. */
    private fun certainRefusal(
        expectedMs: Double,
        objectiveMs: Long,
        deadlineMs: Long,
        priority: Int,
        othersAreShedFirst: Boolean,
    ): Boolean? = when {
        expectedMs > maxExpectedMs(deadlineMs) -> true
        objectiveMs <= 0 -> false
        othersAreShedFirst && !isShedFirst(priority) -> false
        else -> null
    }

    private fun bandProbability(expectedMs: Double, objectiveMs: Long, priority: Int): Double =
        BANDS[minOf(priority, BANDS.lastIndex)].refusalProbability(expectedMs / objectiveMs)

    private fun refuse(expectedMs: Double, objectiveMs: Long): Decision {
        val excessMs = (expectedMs - objectiveMs).coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
        return Decision.Refused((excessMs * (1 + random.nextDouble())).toLong())
    }

    /**
     * Range of the ratio of expected time to objective over which the probability of refusal rises from 0 to 1.
     */
    private class Band(val startRatio: Double, val endRatio: Double) {
        fun refusalProbability(ratio: Double): Double =
            ((ratio - startRatio) / (endRatio - startRatio)).coerceIn(0.0, 1.0)
    }

    companion object {
        /** Largest share of the time to the deadline that the expected time may take. */
        private const val MAX_DEADLINE_SHARE = 0.8

        /** Refusal bands by priority; requests in the last band are shed first. */
        private val BANDS = listOf(Band(1.1, 1.6), Band(1.0, 1.5), Band(0.9, 1.2))
        private const val MIN_RETRY_AFTER_MS = 200.0
        private const val MAX_RETRY_AFTER_MS = 2_000.0

        /** Longest expected time with which a request may be admitted that has [deadlineMs] left, milliseconds. */
        fun maxExpectedMs(deadlineMs: Long): Double = deadlineMs * MAX_DEADLINE_SHARE

        /** True when requests of [priority] are shed first, before they delay others. */
        fun isShedFirst(priority: Int): Boolean = priority >= BANDS.lastIndex
    }
}
