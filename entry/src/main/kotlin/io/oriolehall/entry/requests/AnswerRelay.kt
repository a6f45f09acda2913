package io.oriolehall.entry.requests

import io.oriolehall.entry.answers.AnswerItem
import io.oriolehall.entry.answers.AnswerStore
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.Refusal
import io.oriolehall.model.RefusalKind
import io.oriolehall.model.RequestId
import io.oriolehall.model.RunOutcome
import io.oriolehall.peer.PeerChannel
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import kotlinx.serialization.Serializable

/** Asks the instance that runs a request for its answer from byte [offset]. */
@Serializable
data class AnswerQuery(val requestId: RequestId, val organisation: OrganisationId, val offset: Long)

/**
 * Brings an answer from the instance whose name its request identifier bears, so that a caller may resume through any
 * instance.
 */
class AnswerRelay(
    private val self: InstanceId,
    private val client: PeerClient,
    private val addressOf: (InstanceId) -> NetworkAddress?,
) {
    /** Hands the answer on to [onItem], up to and with its ending, which is a refusal when the answer is not found. */
    suspend fun follow(
        id: RequestId,
        organisation: OrganisationId,
        offset: Long,
        onItem: suspend (AnswerItem) -> Unit,
    ) {
        val home = InstanceId(id.value.substringBefore(HOME_SEPARATOR, missingDelimiterValue = ""))
        val address = if (home == self) null else addressOf(home)
        if (address == null) {
            onItem(AnswerItem.Refused(unknown(id)))
            return
        }
        var ended = false
        val outcome = client.stream(address, ANSWERS, AnswerQuery(id, organisation, offset), IDLE_TIMEOUT_MS) { item ->
            ended = item !is AnswerItem.Chunk
            onItem(item)
        }
        if (!ended) {
            val reason = if (outcome.isErr) outcome.error.message else "$home broke off"
            onItem(AnswerItem.Refused(unreachable(id, reason)))
        }
    }

    private fun unreachable(id: RequestId, reason: String) =
        Refusal(RefusalKind.KEY_HOLDER_LOST, reason, RunOutcome.UNKNOWN, RETRY_AFTER_MS, id)

    companion object {
        /** Between an instance's name and the rest of a request identifier. */
        const val HOME_SEPARATOR = "~"

        private const val IDLE_TIMEOUT_MS = 10_000L
        private const val RETRY_AFTER_MS = 1_000L

        private val ANSWERS = PeerChannel.of<AnswerQuery, AnswerItem>("answers")

        /** Lets other instances follow the answers in [answers]. */
        fun serve(server: PeerServer, answers: AnswerStore) {
            server.serve(ANSWERS) { query, emit ->
                val answer = answers.find(query.requestId, query.organisation)
                if (answer == null) {
                    emit(AnswerItem.Refused(unknown(query.requestId)))
                } else {
                    answer.follow(query.offset, emit)
                }
            }
        }

        private fun unknown(id: RequestId) =
            Refusal(RefusalKind.UNKNOWN_REQUEST, "no answer is kept for $id", RunOutcome.UNKNOWN, requestId = id)
    }
}
