package io.oriolehall.entry.limits

import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId
import io.oriolehall.peer.PeerChannel
import io.oriolehall.policy.limits.CreditAnswer
import io.oriolehall.policy.limits.CreditRequest
import kotlinx.serialization.Serializable

/**
 * All that one instance asks of an owner at a time. An empty list makes the sender known.
 *
 * @property goodbye true when the sender stops and holds nothing any more.
 */
@Serializable
data class CreditBatch(
    val from: InstanceId,
    val zone: ZoneId,
    val requests: List<CreditRequest> = emptyList(),
    val goodbye: Boolean = false,
)

/** Answers to a batch, in its order; requests for unknown endpoints have none. */
@Serializable
data class CreditAnswers(val answers: List<CreditAnswer> = emptyList())

/** The exchange between holders and owners. */
internal val CREDITS = PeerChannel.of<CreditBatch, CreditAnswers>("credits")
