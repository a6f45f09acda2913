package io.oriolehall.entry.keys

import io.oriolehall.entry.answers.AnswerItem
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.PipelineId
import io.oriolehall.model.PipelineRequest
import io.oriolehall.peer.PeerChannel
import io.oriolehall.policy.keys.ClaimRequest
import io.oriolehall.policy.keys.KeyHolder
import io.oriolehall.policy.keys.WitnessAnswer
import kotlinx.serialization.Serializable

/** A request passed on to the [holder] of its key, which an instance authenticated before. */
@Serializable
internal data class RelayRequest(
    val holder: KeyHolder,
    val organisation: OrganisationId,
    val pipeline: PipelineId,
    val body: PipelineRequest,
    val key: String,
    val remainingMs: Long,
)

/** Exchanges between instances about keys. */
internal object KeyChannels {
    val CLAIM = PeerChannel.of<ClaimRequest, WitnessAnswer>("keys.claim")
    val RELAY = PeerChannel.of<RelayRequest, AnswerItem>("keys.relay")
}
