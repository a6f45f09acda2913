package io.oriolehall.policy.limits

/**
 * Settings for raising an endpoint's limit from cold to warm, and for its circuit breaker.
 *
 * @property raiseIntervalMs time between two raises of the limit, milliseconds.
 * @property raiseFactor factor by which a raise multiplies the limit; it adds at least one call.
 * @property coldRatio ratio of the first-output time to its baseline above which the endpoint is considered cold again.
 * @property failuresToOpen number of consecutive failures that opens the circuit breaker.
 * @property firstOpenMs time before the first probe, milliseconds; it doubles with each probe that fails.
 * @property maxOpenMs maximum time before a probe, milliseconds.
 */
data class RampSettings(
    val raiseIntervalMs: Long = 500,
    val raiseFactor: Double = 1.6,
    val coldRatio: Double = 2.5,
    val failuresToOpen: Int = 3,
    val firstOpenMs: Long = 1_000,
    val maxOpenMs: Long = 15_000,
)
