package io.oriolehall.policy.limits

/**
 * Times of the lease protocol, milliseconds.
 *
 * @property leaseMs how long a grant may be used to start calls.
 * @property echoMs how old a stamp may be that a holder returns.
 * @property drainMs longest time that a call runs after its start.
 * @property marginMs allowance for clocks that run at different rates.
 */
data class CreditTiming(
    val leaseMs: Long = 1_000,
    val echoMs: Long = 1_000,
    val drainMs: Long = 4_000,
    val marginMs: Long = 50,
) {
    /** Time after which nothing is left of a grant: the lease has run out and its calls have ended. */
    val settleMs: Long get() = leaseMs + drainMs + marginMs

    /** Time after an owner's last answer from which the owner surely no longer counts the holder as its follower. */
    val unfollowMs: Long get() = echoMs + leaseMs + marginMs
}
