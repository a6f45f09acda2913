package io.oriolehall.policy.keys

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Request to a witness to grant [key] to [holder].
 *
 * @property bornAtMs creation time of the key, milliseconds since the epoch.
 * @property rosterTicket number of the ticket whose witness roster the claimant used to choose the witness.
 * @property claimantClockMs wall-clock time of the claimant when it sent the request, milliseconds since the epoch.
 */
@Serializable
data class ClaimRequest(
    val key: String,
    val bornAtMs: Long,
    val holder: KeyHolder,
    val rosterTicket: Long,
    val claimantClockMs: Long,
)

/** The answer of a witness to a claim, as the claimant sees it. */
@Serializable
sealed interface WitnessAnswer {
    /** The witness granted the key to the claimant. A grant is never withdrawn. */
    @Serializable
    @SerialName("granted")
    data object Granted : WitnessAnswer

    /** The witness had already granted the key to [holder], another process. */
    @Serializable
    @SerialName("held-by")
    data class HeldBy(val holder: KeyHolder) : WitnessAnswer

    /** The witness refused, because it cannot rule out a grant of this key that it has no record of. */
    @Serializable
    @SerialName("cannot-vouch")
    data class CannotVouch(val reason: VouchFault) : WitnessAnswer

    /** The witness did not answer in time. It may still have granted the key. */
    @Serializable
    @SerialName("silent")
    data object Silent : WitnessAnswer
}

/** Why a witness cannot confirm that it has not granted a key before. */
@Serializable
enum class VouchFault {
    /** The claimant chose its witnesses from a different roster than the one in force at the witness. */
    @SerialName("roster")
    ROSTER,

    /** The clocks of claimant and witness differ by more than [KeyRules.clockToleranceMs]. */
    @SerialName("clock")
    CLOCK,

    /** The key may have been granted before the witness started or adopted the roster. */
    @SerialName("no-memory")
    NO_MEMORY,

    /** The creation time of the key is too far in the future. */
    @SerialName("premature")
    PREMATURE,

    /** The key is older than [KeyRules.lifetimeMs]. */
    @SerialName("expired")
    EXPIRED,
}
