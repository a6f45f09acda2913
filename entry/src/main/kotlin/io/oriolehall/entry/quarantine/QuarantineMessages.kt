package io.oriolehall.entry.quarantine

import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import io.oriolehall.peer.PeerChannel
import io.oriolehall.policy.quarantine.Fingerprint
import kotlinx.serialization.Serializable

/** An endpoint that ended [ageMs] milliseconds ago while it ran a request. */
@Serializable
data class SharedLoss(val fingerprint: Fingerprint, val endpoint: EndpointId, val ageMs: Long)

/** What an instance tells the others: new losses, and suspects that ran to their end. */
@Serializable
data class CrashNotice(
    val from: InstanceId,
    val losses: List<SharedLoss> = emptyList(),
    val cleared: List<Fingerprint> = emptyList(),
)

/** All that the asked instance knows, so that a fresh one or one that missed a notice catches up. */
@Serializable
data class KnownLosses(val losses: List<SharedLoss> = emptyList())

/** Asks an endpoint's owner to let a suspect run there alone for [lastsMs] milliseconds, or ends that. */
@Serializable
data class TrialRequest(
    val endpoint: EndpointId,
    val fingerprint: Fingerprint,
    val lastsMs: Long,
    val end: Boolean = false,
)

@Serializable
data class TrialAnswer(val granted: Boolean = false)

internal val CRASHES = PeerChannel.of<CrashNotice, KnownLosses>("crashes")
internal val TRIALS = PeerChannel.of<TrialRequest, TrialAnswer>("trials")
