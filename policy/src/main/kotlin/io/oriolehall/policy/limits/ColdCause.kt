package io.oriolehall.policy.limits

/** Why an endpoint is considered cold. */
enum class ColdCause {
    FIRST_SEEN,
    RESTARTED,
    REPORTED,
    SLOW_FIRST_OUTPUT,
    FAILED,
}
