package io.oriolehall.cli

import io.oriolehall.entry.explain.AttemptRecord
import io.oriolehall.entry.explain.RequestRecord
import io.oriolehall.model.Usage
import java.time.Instant
import java.util.Locale

/** A request's record in words. */
internal object Explanation {
    /** One line: who, what and how it ended. */
    fun headline(record: RequestRecord): String {
        val arrived = Instant.ofEpochMilli(record.arrivedAtMs)
        return "$arrived ${record.requestId} ${record.organisation} ${record.pipeline}: ${ending(record)}"
    }

    /** All that is known of the request. */
    fun of(record: RequestRecord): String = buildString {
        appendLine(headline(record))
        appendLine("deadline ${record.deadlineMs} ms; first text after ${record.firstChunkMs ?: "-"} ms")
        record.attempts.forEach { appendLine(attempt(it)) }
        record.attempts.groupBy(AttemptRecord::stage).forEach { (stage, attempts) -> appendLine(cost(stage, attempts)) }
        record.refusal?.let { append("refused: ${it.kind.wireName}, outcome ${it.outcome}: ${it.detail}") }
    }.trimEnd()

    private fun ending(record: RequestRecord): String = when {
        record.refusal != null -> "refused (${record.refusal?.kind?.wireName}) after ${record.tookMs} ms"
        record.tookMs == null -> "still runs"
        else -> "whole answer in ${record.tookMs} ms"
    }

    private fun attempt(attempt: AttemptRecord): String {
        val result = attempt.failure?.let { "failed: $it" } ?: "done"
        return "  +${attempt.startMs} ms ${attempt.stage} attempt ${attempt.attempt} at ${attempt.endpoint}: " +
            "${attempt.tookMs} ms, $result"
    }

    private fun cost(stage: String, attempts: List<AttemptRecord>): String {
        val usage = attempts.map { it.usage }.fold(Usage(), Usage::plus)
        val busy = String.format(Locale.ROOT, "%.1f", usage.busyMs)
        return "  cost of $stage: $busy ms busy, ${usage.promptTokens} prompt tokens " +
            "(${usage.cachedTokens} cached), ${usage.outputTokens} output tokens"
    }
}
