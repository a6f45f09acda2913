package io.oriolehall.harness.experiment

import java.util.Locale

/** Results as a Markdown table. */
object ReportTable {
    private const val PERCENT = 100.0

    val Header = """
        | scenario | variant | seed | sent | in time | attainment | by organisation | late | not run | refused | broken | p50/p95/p99 ms | overloads | endpoints lost |
        | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
    """.trimIndent()

    /** One row for [run]. */
    fun line(run: RunResult): String = listOf(
        run.scenario,
        run.variant,
        run.seed,
        run.sent,
        run.inTime,
        percent(run.attainment),
        run.organisations.joinToString { "${it.organisation} ${percent(it.attainment)}" },
        run.late,
        run.organisations.sumOf { it.notRun },
        run.organisations.sumOf { it.refused },
        run.organisations.sumOf { it.broken },
        run.organisations.joinToString { "${it.p50Ms}/${it.p95Ms}/${it.p99Ms}" },
        run.overloads,
        run.lost,
    ).joinToString(" | ", "| ", " |")

    /** The whole table. */
    fun of(runs: List<RunResult>): String = (listOf(Header) + runs.map(::line)).joinToString("\n", postfix = "\n")

    private fun percent(share: Double) = String.format(Locale.ROOT, "%.2f %%", share * PERCENT)
}
