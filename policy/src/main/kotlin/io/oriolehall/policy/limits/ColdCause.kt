package io.oriolehall.policy.limits

/** Why an endpoint counts as cold. */
enum class ColdCause {
    FIRST_SEEN,
    RESTARTED,
    REPORTED,
    SLOW_FIRST_OUTPUT,
    FAILED,
}
