package io.oriolehall.policy.keys

import kotlin.math.abs

/**
 * What a witness needs to know of itself to judge claims.
 *
 * @property startedAtMs start of the process, milliseconds since the epoch, by its own clock.
 * @property rosterTicket ticket of the roster in force here; 0 for none.
 * @property rosterSinceMs when this process took over the roster's names, by its own clock.
 */
data class WitnessStanding(val startedAtMs: Long, val rosterTicket: Long, val rosterSinceMs: Long) {
    /** Keys born at this time or before may have been granted without the witness's knowledge. */
    fun blindUntilMs(rules: KeyRules): Long = maxOf(startedAtMs, rosterSinceMs) + rules.blindMs
}

/** Judges claims to keys. A grant once given stands until the key has expired. */
class Witness(private val rules: KeyRules) {
    /** The answer to [request] when [granted] is the holder to whom the key was granted before, or null. */
    fun judge(
        request: ClaimRequest,
        granted: KeyHolder?,
        standing: WitnessStanding,
        nowMs: Long,
    ): WitnessAnswer {
        if (granted != null) return answerGranted(granted, request.holder)
        return findFault(request, standing, nowMs)?.let { WitnessAnswer.CannotVouch(it) } ?: WitnessAnswer.Granted
    }

    private fun answerGranted(granted: KeyHolder, claimant: KeyHolder): WitnessAnswer =
        if (granted == claimant) WitnessAnswer.Granted else WitnessAnswer.HeldBy(granted)

    private fun findFault(request: ClaimRequest, standing: WitnessStanding, nowMs: Long): VouchFault? = when {
        request.rosterTicket != standing.rosterTicket -> VouchFault.ROSTER
        abs(request.claimantClockMs - nowMs) > rules.toleranceMs -> VouchFault.CLOCK
        rules.premature(request.bornAtMs, nowMs) -> VouchFault.PREMATURE
        rules.expired(request.bornAtMs, nowMs) -> VouchFault.EXPIRED
        request.bornAtMs <= standing.blindUntilMs(rules) -> VouchFault.NO_MEMORY
        else -> null
    }
}
