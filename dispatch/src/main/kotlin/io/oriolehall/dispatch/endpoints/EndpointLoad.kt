package io.oriolehall.dispatch.endpoints

import kotlin.math.exp

/**
 * The load of one incarnation of an endpoint: its last report, the age of the report, and the tasks that this instance
 * runs there. Tasks of this instance are counted exactly and are subtracted from a report when it arrives, so that only
 * the tasks of others are taken from it. Each figure loses its weight at the rate at which it changes.
 *
 * Times are monotonic milliseconds. Not thread-safe.
 */
class EndpointLoad {
    private var report: LoadReport? = null
    private var reportedAtMs = 0L
    private var othersRunning = 0
    private var othersWaiting = 0

    /** Tasks of this instance that are in progress. */
    var ownTasks = 0
        private set

    /** True once a report has named the time factor, until a later report lacks it. */
    val reportsTimeFactor: Boolean get() = report?.timeFactor != null

    fun onTaskStarted() {
        ownTasks++
    }

    fun onTaskEnded() {
        ownTasks = maxOf(0, ownTasks - 1)
    }

    /**
     * Records [newReport]. Whether an endpoint counts the task that it answers is not known; that task is subtracted
     * too, because a worker that seems busy although it is idle would lose its work.
     */
    fun onReport(newReport: LoadReport, nowMs: Long) {
        report = newReport
        reportedAtMs = nowMs
        val running = minOf(newReport.running, newReport.slots)
        othersRunning = maxOf(0, running - ownTasks)
        othersWaiting = maxOf(0, newReport.waiting - maxOf(0, ownTasks - running))
    }

    /** Records that a response had no report: the figures of the last one no longer apply. */
    fun onNoReport() {
        report = null
        othersRunning = 0
        othersWaiting = 0
    }

    /**
     * Time until the tasks of others leave a free slot, milliseconds, where a task takes [taskMs]. A running task has
     * half of its time left on average. The work that was reported passes with the age of the report.
     */
    fun othersMs(taskMs: Double, nowMs: Long): Double {
        val slots = report?.slots ?: return 0.0
        if (othersRunning + ownTasks < slots) return 0.0
        val workMs = (othersRunning * RUNNING_SHARE + othersWaiting) * taskMs / slots
        return maxOf(0.0, workMs - (nowMs - reportedAtMs))
    }

    /** The reported time factor; null when the endpoint does not report it. */
    val timeFactor: Double? get() = report?.timeFactor?.coerceIn(MIN_TIME_FACTOR, MAX_TIME_FACTOR)

    /** Weight of [timeFactor] at [nowMs], from 1 for a new report to 0. */
    fun timeFactorWeight(nowMs: Long): Double = exp(-maxOf(0, nowMs - reportedAtMs) / TIME_FACTOR_LIFETIME_MS)

    private companion object {
        const val RUNNING_SHARE = 0.5

        /** Age at which the time factor has lost 63 % of its weight, milliseconds: it changes many times a second. */
        const val TIME_FACTOR_LIFETIME_MS = 300.0

        /** Limits of a plausible time factor; an endpoint that reports one beyond them is wrong or stopped. */
        const val MIN_TIME_FACTOR = 0.1
        const val MAX_TIME_FACTOR = 20.0
    }
}
