package io.oriolehall.entry.keys

import io.oriolehall.entry.answers.Answer
import io.oriolehall.entry.answers.AnswerItem
import io.oriolehall.entry.requests.InboundRequest
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.Refusal
import io.oriolehall.model.RefusalKind
import io.oriolehall.model.RunOutcome
import io.oriolehall.peer.PeerClient
import io.oriolehall.policy.keys.KeyHolder
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService

/** Passes requests on to the holders of their keys. Silence of a holder is never taken for "not run". */
internal class KeyRelay(
    private val peers: PeerClient,
    private val dialled: (NetworkAddress) -> NetworkAddress,
    private val timers: TimerService,
    private val log: EventLog,
) {
    /** Fills [answer] with what [holder] answers to [request]. */
    suspend fun fill(answer: Answer, request: InboundRequest, holder: KeyHolder) {
        val remainingMs = request.deadlineMs - timers.nowMs()
        val message = RelayRequest(
            holder = holder,
            organisation = request.organisation.id,
            pipeline = request.pipeline.id,
            body = request.body,
            key = request.key.orEmpty(),
            remainingMs = remainingMs,
        )
        val address = dialled(holder.peerAddress)
        val outcome = peers.stream(address, KeyChannels.RELAY, message, remainingMs + GRACE_MS) { answer.take(it) }
        if (answer.ended) return
        val reason = if (outcome.isErr) outcome.error.message else "the answer broke off"
        log.write(Event.KEY_HOLDER_SILENT, "request" to answer.requestId, "holder" to holder, "reason" to reason)
        answer.refuse(lost("${holder.instance} (${holder.incarnation}) may hold the key: $reason"))
    }

    private fun Answer.take(item: AnswerItem) {
        when (item) {
            is AnswerItem.Chunk -> if (item.offset == length) append(item.text) else refuse(lost("a chunk is missing"))
            is AnswerItem.End -> if (item.length == length) finish() else refuse(lost("the answer is not whole"))
            is AnswerItem.Refused -> refuse(item.refusal)
        }
    }

    companion object {
        private const val GRACE_MS = 250L
        private const val RETRY_AFTER_MS = 1_000L

        /** Refusal of a request whose holder cannot be asked. */
        fun lost(detail: String) =
            Refusal(RefusalKind.KEY_HOLDER_LOST, detail, RunOutcome.UNKNOWN, retryAfterMs = RETRY_AFTER_MS)
    }
}
