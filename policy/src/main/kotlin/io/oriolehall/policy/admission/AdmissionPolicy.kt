package io.oriolehall.policy.admission

/**
 * Expected waiting and running time of one stage that a request has not run yet.
 *
 * @property waiting calls ahead of this one in the queue for the stage's endpoints.
 * @property running calls of this instance that are running at these endpoints.
 * @property concurrency number of calls of this instance that these endpoints can run concurrently.
 * @property meanMs mean duration of a run, milliseconds.
 * @property boundMs duration that most runs do not exceed, milliseconds.
 */
data class StageForecast(
    val waiting: Int,
    val running: Int,
    val concurrency: Int,
    val meanMs: Double,
    val boundMs: Double,
) {
    /** True if this instance has no calls waiting or running, so a new call would measure the current duration. */
    val isIdle: Boolean get() = waiting == 0 && running == 0

    /** Expected waiting time in the queue, milliseconds. */
    val waitMs: Double get() = if (concurrency <= 0) NO_CAPACITY_WAIT_MS else waiting * meanMs / concurrency

    private companion object {
        /** Assumed waiting time while no endpoint has capacity for this instance. */
        const val NO_CAPACITY_WAIT_MS = 500.0
    }
}

/** Whether a request is admitted or refused. */
sealed interface AdmissionDecision {
    data object Admit : AdmissionDecision

    /**
     * The request is expected to take [expectedMs] milliseconds and so to miss its deadline. It may be retried after
     * [retryAfterMs] milliseconds.
     */
    data class Refuse(val expectedMs: Long, val retryAfterMs: Long) : AdmissionDecision
}

/** Decides on arrival, and again before each stage, whether a request can meet its deadline. */
fun interface AdmissionPolicy {
    /** Decides on a request that has [remainingMs] milliseconds until its deadline and [stages] left to run. */
    fun decide(remainingMs: Long, stages: List<StageForecast>): AdmissionDecision
}

/** Admits every request. */
object AdmitAll : AdmissionPolicy {
    override fun decide(remainingMs: Long, stages: List<StageForecast>) = AdmissionDecision.Admit
}

/**
 * Admits requests that can complete before their deadline according to the queues and durations of the remaining
 * stages. While all of these stages are idle, one request is admitted regardless of the estimates, which may be out of
 * date.
 */
object DeadlineAdmission : AdmissionPolicy {
    private const val MIN_RETRY_MS = 100L

    override fun decide(remainingMs: Long, stages: List<StageForecast>): AdmissionDecision {
        val waitMs = stages.sumOf(StageForecast::waitMs)
        val expectedMs = (waitMs + stages.sumOf(StageForecast::boundMs)).toLong()
        if (expectedMs <= remainingMs || stages.all(StageForecast::isIdle)) return AdmissionDecision.Admit
        return AdmissionDecision.Refuse(expectedMs, maxOf(MIN_RETRY_MS, minOf(waitMs.toLong(), expectedMs)))
    }
}
