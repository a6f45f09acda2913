package io.oriolehall.policy.admission

/**
 * What is expected of one stage that is still to run.
 *
 * @property waiting calls that wait for the stage's endpoints before this one.
 * @property running calls of this instance that run there.
 * @property concurrency calls that the stage's endpoints run at once for this instance.
 * @property meanMs mean time of one run, milliseconds.
 * @property boundMs time within which most runs end, milliseconds.
 */
data class StageForecast(
    val waiting: Int,
    val running: Int,
    val concurrency: Int,
    val meanMs: Double,
    val boundMs: Double,
) {
    /** True when this instance has nothing there, so that a request would show how long the stage takes now. */
    val idle: Boolean get() = waiting == 0 && running == 0

    /** Expected time in the queue, milliseconds. */
    val waitMs: Double get() = if (concurrency <= 0) NO_CAPACITY_WAIT_MS else waiting * meanMs / concurrency

    private companion object {
        const val NO_CAPACITY_WAIT_MS = 500.0
    }
}

/** Whether a request goes on. */
sealed interface AdmissionDecision {
    data object Admit : AdmissionDecision

    /** It cannot make its deadline; another try makes sense after [retryAfterMs] milliseconds. */
    data class Refuse(val expectedMs: Long, val retryAfterMs: Long) : AdmissionDecision
}

/** Decides at the door, and again before each stage, whether a request can make its deadline. */
fun interface AdmissionPolicy {
    /** Decides on a request with [remainingMs] milliseconds left and [stages] still to run. */
    fun decide(remainingMs: Long, stages: List<StageForecast>): AdmissionDecision
}

/** Admits everything. */
object AdmitAll : AdmissionPolicy {
    override fun decide(remainingMs: Long, stages: List<StageForecast>) = AdmissionDecision.Admit
}

/**
 * Admits what can be whole in time by the queues and the times of the stages that are left. While all of them are idle
 * one request is let through whatever the estimates say, as they may be out of date.
 */
object DeadlineAdmission : AdmissionPolicy {
    private const val MIN_RETRY_MS = 100L

    override fun decide(remainingMs: Long, stages: List<StageForecast>): AdmissionDecision {
        val waitMs = stages.sumOf(StageForecast::waitMs)
        val expectedMs = (waitMs + stages.sumOf(StageForecast::boundMs)).toLong()
        if (expectedMs <= remainingMs || stages.all(StageForecast::idle)) return AdmissionDecision.Admit
        return AdmissionDecision.Refuse(expectedMs, maxOf(MIN_RETRY_MS, minOf(waitMs.toLong(), expectedMs)))
    }
}
