package io.oriolehall.cli

import io.oriolehall.entry.explain.AttemptRecord
import io.oriolehall.entry.explain.RequestRecord
import io.oriolehall.model.Usage
import java.time.Instant
import java.util.Locale

/** Formats request records as text for operators. */
internal object RequestFormatter {
    /** One line with the arrival time, id, organisation, pipeline and outcome of the request. */
    fun summarise(record: RequestRecord): String {
        val arrived = Instant.ofEpochMilli(record.arrivedAtMs)
        return "$arrived ${record.requestId} ${record.organisation} ${record.pipeline}: ${outcome(record)}"
    }

    /** The summary line, followed by the deadline, attempts, cost per stage and refusal. */
    fun describe(record: RequestRecord): String = buildString {
        appendLine(summarise(record))
        appendLine("deadline ${record.deadlineMs} ms; first text after ${record.firstChunkMs ?: "-"} ms")
        record.attempts.forEach { appendLine(attemptLine(it)) }
        record.attempts.groupBy(AttemptRecord::stage).forEach { (stage, attempts) ->
            appendLine(costLine(stage, attempts))
        }
        record.refusal?.let { append("refused: ${it.kind.wireName}, outcome ${it.outcome}: ${it.detail}") }
    }.trimEnd()

    private fun outcome(record: RequestRecord): String = when {
        record.refusal != null -> "refused (${record.refusal?.kind?.wireName}) after ${record.tookMs} ms"
        record.tookMs == null -> "still runs"
        else -> "whole answer in ${record.tookMs} ms"
    }

    private fun attemptLine(attempt: AttemptRecord): String {
        val result = attempt.failure?.let { "failed: $it" } ?: "done"
        return "  +${attempt.startMs} ms ${attempt.stage} attempt ${attempt.attempt} at ${attempt.endpoint}: " +
            "${attempt.tookMs} ms, $result"
    }

    private fun costLine(stage: String, attempts: List<AttemptRecord>): String {
        val usage = attempts.map { it.usage }.fold(Usage(), Usage::plus)
        val busy = String.format(Locale.ROOT, "%.1f", usage.busyMs)
        return "  cost of $stage: $busy ms busy, ${usage.promptTokens} prompt tokens " +
            "(${usage.cachedTokens} cached), ${usage.outputTokens} output tokens"
    }
}
