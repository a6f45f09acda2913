package io.oriolehall.harness.experiment

import java.util.Locale

/** Results as Markdown tables: one row a run, then the stages' costs. */
object ReportTable {
    private const val PERCENT = 100.0
    private const val MS_PER_SECOND = 1_000.0

    val Header = """
        | variant | seed | sent | attainment | by organisation | missed of admitted | refused not-run | refused otherwise | p50/p95/p99 ms | goodput | wasted | overloads | full use ms | endpoints lost | load average |
        | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
    """.trimIndent()

    private val CostHeader = """
        | variant | seed | stage | endpoint seconds | wasted seconds | wasted | prompt tokens | found in cache |
        | --- | --- | --- | --- | --- | --- | --- | --- |
    """.trimIndent()

    /** One row for [run]. */
    fun line(run: RunResult): String = listOf(
        run.variant,
        run.seed,
        run.sent,
        percent(run.attainment),
        run.organisations.joinToString { "${it.organisation} ${percent(it.attainment)}" },
        percent(run.missedShare),
        run.organisations.sumOf { it.notRun },
        refusals(run),
        run.organisations.joinToString { "${it.p50Ms}/${it.p95Ms}/${it.p99Ms}" },
        percent(run.goodput),
        percent(run.wastedShare),
        run.overloads,
        run.endpoints.mapNotNull { it.fullUseMs }.joinToString().ifEmpty { "-" },
        run.lost,
        decimal(run.loadAverage),
    ).joinToString(" | ", "| ", " |")

    /** All tables. */
    fun of(runs: List<RunResult>): String {
        val costs = runs.flatMap { run -> run.costs.map { costLine(run, it) } }
        return (listOf(Header) + runs.map(::line) + "" + CostHeader + costs).joinToString("\n", postfix = "\n")
    }

    private fun refusals(run: RunResult): String {
        val kinds = run.organisations.flatMap { it.refusals.entries }.groupBy({ it.key }, { it.value })
        val broken = run.organisations.sumOf { it.broken }
        val total = run.organisations.sumOf { it.refused }
        return "$total, broken $broken (all: ${kinds.map { (kind, counts) -> "$kind ${counts.sum()}" }.joinToString()})"
    }

    private fun costLine(run: RunResult, cost: StageCost): String = listOf(
        run.variant,
        run.seed,
        cost.stage,
        decimal(cost.busyMs / MS_PER_SECOND),
        decimal(cost.wastedMs / MS_PER_SECOND),
        percent(cost.wastedShare),
        cost.promptTokens.toLong(),
        percent(cost.hitRate),
    ).joinToString(" | ", "| ", " |")

    private fun percent(share: Double) = String.format(Locale.ROOT, "%.2f %%", share * PERCENT)

    private fun decimal(value: Double) = String.format(Locale.ROOT, "%.1f", value)
}
