package io.oriolehall.standins.endpoint

import io.oriolehall.model.LoadReport

/** Load reports that are taken only every [lagMs] milliseconds, so that readers see old ones. */
internal class LaggingLoad(
    private val lagMs: Long,
    private val nowMs: () -> Long,
    private val measure: () -> LoadReport,
) {
    private var takenAtMs = 0L
    private var report: LoadReport? = null

    @Synchronized
    fun report(): LoadReport {
        val kept = report
        if (kept != null && nowMs() - takenAtMs < lagMs) return kept
        takenAtMs = nowMs()
        return measure().also { report = it }
    }
}
