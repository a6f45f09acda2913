package io.oriolehall.harness.demo

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.entry.explain.RequestRecord
import io.oriolehall.model.Problem
import io.oriolehall.model.Usage
import java.util.Locale

/**
 * What the demo saw.
 *
 * @property warmUp calls that came first; they must be right, but do not count in times and attainment.
 * @property records the instances' own records of the requests, for the costs.
 * @property executions how often each idempotency key ran, by the endpoints' own counts.
 */
class DemoReport(
    private val calls: List<DemoCall>,
    private val warmUp: List<DemoCall>,
    private val records: List<RequestRecord>,
    private val executions: Map<String, Int>,
) {
    private val all = warmUp + calls
    private val byKey = all.filter { it.key != null }.groupBy { it.key }

    private val faults = all.mapNotNull { call -> call.fault?.let { "${call.pipeline}: $it" } }

    private val ranTwice = executions.filterValues { it > 1 }

    private val untrueRefusals = byKey.filter { (key, sent) -> sent.all { it.toldNotRun } && key in executions }

    private val lostOrders = byKey.filter { (key, sent) ->
        sent.any { it.outcome is CallOutcome.Whole } && key !in executions
    }

    /** True when every answer was whole and right, nothing ran twice, and every "not run" was true. */
    val good: Boolean get() = calls.any { it.outcome is CallOutcome.Whole } &&
        listOf(faults, ranTwice.keys, untrueRefusals.keys, lostOrders.keys).all { it.isEmpty() }

    /** The report as text. */
    fun render(): String = (requests() + attainment() + costs() + refusals() + orders() + verdict()).joinToString("\n")

    private fun requests() = listOf(
        "",
        "Requests: ${calls.size} sent, ${calls.count { it.outcome is CallOutcome.Whole }} whole answers, " +
            "${calls.count { it.outcome is CallOutcome.Refused }} refused, ${faults.size} faulty",
        "Times of whole answers, ms: " + percentiles(calls.mapNotNull { (it.outcome as? CallOutcome.Whole)?.tookMs }),
        "First text, ms: " + percentiles(calls.mapNotNull { (it.outcome as? CallOutcome.Whole)?.firstTextMs }),
    )

    private fun attainment() = listOf("", "Deadline attainment by organisation:") +
        calls.groupBy(DemoCall::organisation).toSortedMap().map { (organisation, own) ->
            val share = PERCENT * own.count(DemoCall::attained) / own.size
            String.format(Locale.ROOT, "  %-18s %6.1f %% of %d", organisation, share, own.size)
        }

    private fun costs() = listOf("", "Cost by stage (calls, ms busy per call, prompt tokens cached, output tokens):") +
        records.flatMap { it.attempts }.groupBy { it.stage }.map { (stage, attempts) ->
            val usage = attempts.map { it.usage }.fold(Usage(), Usage::plus)
            String.format(
                Locale.ROOT,
                "  %-18s %5d  %8.1f ms  %6d of %d  %6d",
                stage,
                attempts.size,
                usage.busyMs / attempts.size,
                usage.cachedTokens,
                usage.promptTokens,
                usage.outputTokens,
            )
        }

    private fun refusals(): List<String> {
        val problems = calls.mapNotNull { (it.outcome as? CallOutcome.Refused)?.problem }
        val lines = problems.groupingBy(::kindOf).eachCount().map { (kind, count) -> "  $kind: $count" }
        return listOf("", "Refusals by kind:") + lines.ifEmpty { listOf("  none") }
    }

    private fun kindOf(problem: Problem) =
        "${problem.type.substringAfterLast(':')}, outcome ${problem.outcome.name.lowercase()}"

    private fun orders() = listOf(
        "",
        "Requests that may not run twice: ${byKey.size} keys, ${byKey.values.count { it.size > 1 }} of them sent again",
        "  ran once: ${executions.count { it.value == 1 }}, ran twice or more: ${ranTwice.size}, " +
            "told \"not run\" but ran: ${untrueRefusals.size}, answered but never ran: ${lostOrders.size}",
    )

    private fun verdict(): List<String> {
        val shown = faults.take(SHOWN_FAULTS).map { "  fault: $it" }
        val text =
            if (good) "All answers were whole and nothing ran twice." else "FAILED: see the faults and counts above."
        return shown + listOf("", text)
    }

    private fun percentiles(values: List<Long>): String {
        if (values.isEmpty()) return "none"
        val sorted = values.sorted()
        return Shares.joinToString { share -> "p$share ${sorted[(sorted.size - 1) * share / PERCENT.toInt()]}" }
    }

    private companion object {
        val Shares = listOf(50, 95, 99)
        const val PERCENT = 100.0
        const val SHOWN_FAULTS = 10
    }
}
