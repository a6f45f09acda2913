package io.oriolehall.policy.keys

import kotlin.math.abs

/**
 * The state of a witness process on which its answers to claims depend.
 *
 * @property startedAtMs start time of the process by its own clock, milliseconds since the epoch.
 * @property rosterTicket number of the ticket whose witness roster is in force here; 0 for none.
 * @property rosterSinceMs when this process adopted the instances of the roster, by its own clock.
 */
data class WitnessStatus(val startedAtMs: Long, val rosterTicket: Long, val rosterSinceMs: Long) {
    /** Keys created at or before this time may have been granted earlier without a record at this witness. */
    fun recoveryEndsAtMs(rules: KeyRules): Long = maxOf(startedAtMs, rosterSinceMs) + rules.recoveryWindowMs
}

/** Decides how a witness answers claims to keys. A grant stands until the key has expired. */
class Witness(private val rules: KeyRules) {
    /** The answer to [request]. [granted] is the holder to which the witness granted the key before, or null. */
    fun evaluate(
        request: ClaimRequest,
        granted: KeyHolder?,
        status: WitnessStatus,
        nowMs: Long,
    ): WitnessAnswer {
        if (granted != null) return answerGranted(granted, request.holder)
        return findFault(request, status, nowMs)?.let { WitnessAnswer.CannotVouch(it) } ?: WitnessAnswer.Granted
    }

    private fun answerGranted(granted: KeyHolder, claimant: KeyHolder): WitnessAnswer =
        if (granted == claimant) WitnessAnswer.Granted else WitnessAnswer.HeldBy(granted)

    private fun findFault(request: ClaimRequest, status: WitnessStatus, nowMs: Long): VouchFault? = when {
        request.rosterTicket != status.rosterTicket -> VouchFault.ROSTER
        abs(request.claimantClockMs - nowMs) > rules.clockToleranceMs -> VouchFault.CLOCK
        rules.premature(request.bornAtMs, nowMs) -> VouchFault.PREMATURE
        rules.expired(request.bornAtMs, nowMs) -> VouchFault.EXPIRED
        request.bornAtMs <= status.recoveryEndsAtMs(rules) -> VouchFault.NO_MEMORY
        else -> null
    }
}
