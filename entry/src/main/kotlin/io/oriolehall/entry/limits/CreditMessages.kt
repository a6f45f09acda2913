package io.oriolehall.entry.limits

import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId
import io.oriolehall.peer.PeerChannel
import io.oriolehall.policy.limits.CreditAnswer
import io.oriolehall.policy.limits.CreditRequest
import io.oriolehall.policy.limits.HolderId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * All that one instance asks of an owner at a time. An empty list makes the sender known.
 *
 * @property startedAtMs with [nonce], the sender's incarnation.
 * @property goodbye true when the sender stops and holds nothing any more.
 */
@Serializable
data class CreditBatch(
    @SerialName("f") val from: InstanceId,
    @SerialName("s") val startedAtMs: Long,
    @SerialName("p") val nonce: Int,
    @SerialName("z") val zone: ZoneId,
    @SerialName("r") val requests: List<CreditRequest> = emptyList(),
    @SerialName("g") val goodbye: Boolean = false,
) {
    constructor(holder: HolderId, zone: ZoneId, requests: List<CreditRequest> = emptyList(), goodbye: Boolean = false) :
        this(holder.instance, holder.incarnation.startedAtMs, holder.incarnation.nonce, zone, requests, goodbye)

    /** Who asks. */
    val holder: HolderId get() = HolderId(from, Incarnation(startedAtMs, nonce))
}

/** Answers to a batch, in its order; requests for unknown endpoints have none. */
@Serializable
data class CreditAnswers(@SerialName("a") val answers: List<CreditAnswer> = emptyList())

/** The exchange between holders and owners. */
internal val CREDITS = PeerChannel.of<CreditBatch, CreditAnswers>("credits")
