package io.oriolehall.gateway.quarantine

import io.oriolehall.model.EndpointId
import io.oriolehall.peer.PeerChannel
import io.oriolehall.policy.quarantine.Fingerprint
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * An endpoint that ended [ageMs] milliseconds ago while it ran [request].
 *
 * @property fingerprint identifies that request or a part of its prompt.
 */
@Serializable
internal data class SharedLoss(
    @SerialName("f") val fingerprint: Fingerprint,
    @SerialName("e") val endpoint: EndpointId,
    @SerialName("r") val request: Fingerprint,
    @SerialName("a") val ageMs: Long,
)

/**
 * Tells another instance of new losses.
 *
 * @property sound fingerprints that endpoints have answered, so that losses are no longer held against them.
 */
@Serializable
internal data class CrashNotice(
    @SerialName("l") val losses: List<SharedLoss> = emptyList(),
    @SerialName("s") val sound: List<Fingerprint> = emptyList(),
)

/** Fingerprints of a notice's losses that endpoints have lately answered the receiver. */
@Serializable
internal data class CrashNoticeAnswer(@SerialName("s") val sound: List<Fingerprint> = emptyList())

/** Asks for all losses that the receiver knows. */
@Serializable
internal data class CrashQuery(@SerialName("v") val version: Int = 1)

@Serializable
internal data class KnownCrashes(@SerialName("l") val losses: List<SharedLoss> = emptyList())

internal object CrashChannels {
    val NOTICE = PeerChannel.of<CrashNotice, CrashNoticeAnswer>("crash.notice")
    val KNOWN = PeerChannel.of<CrashQuery, KnownCrashes>("crash.known")
}
