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
 * @property answerBegun true when a part of the answer had arrived.
 */
@Serializable
internal data class SharedLoss(
    @SerialName("f") val fingerprint: Fingerprint,
    @SerialName("e") val endpoint: EndpointId,
    @SerialName("r") val request: Fingerprint,
    @SerialName("a") val ageMs: Long,
    @SerialName("b") val answerBegun: Boolean = false,
)

/**
 * Tells another instance of new losses, and of fingerprints against which losses are no longer held.
 *
 * @property begun fingerprints that endpoints have begun to answer.
 * @property completed fingerprints that endpoints have answered to the end.
 */
@Serializable
internal data class CrashNotice(
    @SerialName("l") val losses: List<SharedLoss> = emptyList(),
    @SerialName("s") val begun: List<Fingerprint> = emptyList(),
    @SerialName("c") val completed: List<Fingerprint> = emptyList(),
) {
    val cleared: ClearedFingerprints get() = ClearedFingerprints(begun, completed)
}

/** Fingerprints of a notice's losses that endpoints have lately answered the receiver; as in [CrashNotice]. */
@Serializable
internal data class CrashNoticeAnswer(
    @SerialName("s") val begun: List<Fingerprint> = emptyList(),
    @SerialName("c") val completed: List<Fingerprint> = emptyList(),
) {
    val cleared: ClearedFingerprints get() = ClearedFingerprints(begun, completed)
}

/** Asks for the losses that the receiver knows: those of the last [maxAgeMs] milliseconds, and all that are blamed. */
@Serializable
internal data class CrashQuery(@SerialName("m") val maxAgeMs: Long = Long.MAX_VALUE)

@Serializable
internal data class KnownCrashes(@SerialName("l") val losses: List<SharedLoss> = emptyList())

internal object CrashChannels {
    val NOTICE = PeerChannel.of<CrashNotice, CrashNoticeAnswer>("crash.notice")
    val KNOWN = PeerChannel.of<CrashQuery, KnownCrashes>("crash.known")
}
