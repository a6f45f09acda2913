package io.oriolehall.entry.answers

import io.oriolehall.model.OrganisationId
import io.oriolehall.model.RequestId
import io.oriolehall.runtime.TimerService
import java.util.concurrent.ConcurrentHashMap

/**
 * Answers of this instance by request, kept for [keepMs] milliseconds after their start so that callers can resume.
 * Safe for use by several threads.
 */
class AnswerStore(private val timers: TimerService, private val keepMs: Long = DEFAULT_KEEP_MS) {
    private data class Kept(val answer: Answer, val since: Long)

    private val answers = ConcurrentHashMap<RequestId, Kept>()

    init {
        timers.every("answer expiry", EXPIRY_PERIOD_MS) { expire() }
    }

    /** Number of answers kept. */
    val size: Int get() = answers.size

    /** Number of answers that still grow. */
    val unfinished: Int get() = answers.values.count { !it.answer.ended }

    fun add(answer: Answer) {
        answers[answer.requestId] = Kept(answer, timers.nowMs())
    }

    /** The answer to [id], or null when there is none or it belongs to another organisation. */
    fun find(id: RequestId, organisation: OrganisationId): Answer? =
        answers[id]?.answer?.takeIf { it.organisation == organisation }

    private fun expire() {
        val oldest = timers.nowMs() - keepMs
        answers.values.removeIf { it.answer.ended && it.since < oldest }
    }

    private companion object {
        const val DEFAULT_KEEP_MS = 60_000L
        const val EXPIRY_PERIOD_MS = 1_000L
    }
}
