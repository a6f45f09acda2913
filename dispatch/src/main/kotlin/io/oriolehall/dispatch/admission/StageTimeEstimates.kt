package io.oriolehall.dispatch.admission

import io.oriolehall.dispatch.config.PieceLimits

/**
 * Estimates how long stages currently take, from the latest report of each queue's owner. Between reports the backlog
 * is assumed to shrink by one millisecond per millisecond. A report of a very long time, from an owner without usable
 * workers, is shortened: nobody asks the owner again while its report leads to refusals, so it must not outlast the
 * fault. Times are monotonic milliseconds. Not thread-safe.
 */
class StageTimeEstimates {
    private class Report(val expectedMs: Long, val atMs: Long)

    private val reports = HashMap<String, Report>()

    /** Records the time that the owner of the queue of [service] reports. */
    fun record(service: String, expectedMs: Long, nowMs: Long) {
        if (expectedMs > 0) reports[service] = Report(minOf(expectedMs, MAX_REPORT_MS), nowMs)
    }

    /** Expected time of a stage request to [service], at least that of a call with one piece, milliseconds. */
    fun expectedMs(service: String, limits: PieceLimits, nowMs: Long): Double {
        val minimumMs = limits.callMs + limits.pieceMs
        val report = reports[service] ?: return minimumMs
        val ageMs = nowMs - report.atMs
        return maxOf(minimumMs, (report.expectedMs - ageMs).toDouble())
    }

    private companion object {
        /** Longer than callers wait for their first event, so that a real backlog of this length refuses them all. */
        const val MAX_REPORT_MS = 5_000L
    }
}
