package io.oriolehall.policy.limits

/**
 * How an endpoint's limit moves between its cold and its warm limit.
 *
 * @property stepMs time between two raises, milliseconds.
 * @property growth factor of one raise; a raise adds at least one call.
 * @property coldRatio ratio of first-output time to its usual value from which the endpoint counts as cold again.
 * @property failuresToOpen failures in a row, with nothing completed between, from which no calls are sent.
 * @property openMs first wait before a probe, milliseconds; it doubles with each probe that fails.
 * @property maxOpenMs longest wait before a probe, milliseconds.
 */
data class RampSettings(
    val stepMs: Long = 500,
    val growth: Double = 1.6,
    val coldRatio: Double = 2.5,
    val failuresToOpen: Int = 3,
    val openMs: Long = 1_000,
    val maxOpenMs: Long = 15_000,
)
