package io.oriolehall.entry.keys

import io.oriolehall.model.Refusal
import io.oriolehall.model.RunOutcome
import io.oriolehall.policy.keys.KeyRecord
import io.oriolehall.policy.keys.KeyState
import io.oriolehall.policy.keys.KeyTable
import io.oriolehall.runtime.TimerService

/** Guard of one request, backed by the record of its key. [deadlineMs] is in monotonic time, milliseconds. */
internal class KeyGuard(
    private val table: KeyTable,
    private val key: String,
    private val deadlineMs: Long,
    private val timers: TimerService,
) : SendGuard {
    override fun allowSend(): Boolean =
        table.change(key) { it.sending(timers.nowMs(), deadlineMs) }?.entered<KeyState.Sent>() ?: false

    override fun declined() {
        table.change(key, KeyRecord::declined)
    }

    override fun executed() {
        table.change(key, KeyRecord::executed)
    }

    override fun answered() {
        table.change(key, KeyRecord::answered)
    }

    override fun settle(refusal: Refusal): Refusal {
        val record = table.change(key, KeyRecord::abandoned)?.after
        val outcome = record?.outcome ?: RunOutcome.UNKNOWN
        val advice = if (outcome == RunOutcome.NOT_RUN) "; its key is closed, use a new one" else ""
        val detail = refusal.detail + advice
        return refusal.copy(outcome = outcome, detail = detail)
    }
}
