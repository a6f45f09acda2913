package io.oriolehall.policy.keys

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks a witness to grant a key to [holder].
 *
 * @property rosterTicket ticket that put the roster in force from which the claimant chose the witness.
 * @property claimantClockMs wall clock of the claimant at the sending, milliseconds since the epoch.
 */
@Serializable
data class ClaimRequest(
    val key: String,
    val bornAtMs: Long,
    val holder: KeyHolder,
    val rosterTicket: Long,
    val claimantClockMs: Long,
)

/** What a claimant knows of a witness's answer. */
@Serializable
sealed interface WitnessAnswer {
    /** The key is granted to the claimant, for ever. */
    @Serializable
    @SerialName("granted")
    data object Granted : WitnessAnswer

    /** The key was granted to another before. */
    @Serializable
    @SerialName("held-by")
    data class HeldBy(val holder: KeyHolder) : WitnessAnswer

    /** The witness granted nothing, since it may have granted the key before without knowing it. */
    @Serializable
    @SerialName("cannot-vouch")
    data class CannotVouch(val reason: VouchFault) : WitnessAnswer

    /** No answer came in time. The witness may have granted the key. */
    @Serializable
    @SerialName("silent")
    data object Silent : WitnessAnswer
}

/** Why a witness cannot vouch for a key. */
@Serializable
enum class VouchFault {
    /** The claimant chose its witnesses by another roster. */
    @SerialName("roster")
    ROSTER,

    /** The clocks of claimant and witness differ by more than the tolerance. */
    @SerialName("clock")
    CLOCK,

    /** The key may be older than the witness's memory. */
    @SerialName("no-memory")
    NO_MEMORY,

    /** The key's birth is too far in the future. */
    @SerialName("premature")
    PREMATURE,

    /** The key is older than keys may be. */
    @SerialName("expired")
    EXPIRED,
}
