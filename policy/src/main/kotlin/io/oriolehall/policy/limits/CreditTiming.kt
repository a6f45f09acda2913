package io.oriolehall.policy.limits

/**
 * Times of the lease protocol, milliseconds.
 *
 * @property leaseMs how long a grant may be used to start calls.
 * @property echoMs how old a stamp may be that a holder returns.
 * @property drainMs longest time that a call runs after its start.
 * @property marginMs allowance for clocks that run at different rates.
 * @property renewMs time between two renewals while the endpoint has credits to spare.
 * @property contendedMs time between two renewals while more credits are wanted than there are.
 * @property retryMs time after which a request without an answer is made again.
 */
data class CreditTiming(
    val leaseMs: Long = 2_000,
    val echoMs: Long = 1_500,
    val drainMs: Long = 4_000,
    val marginMs: Long = 50,
    val renewMs: Long = 1_000,
    val contendedMs: Long = 250,
    val retryMs: Long = 500,
) {
    /** Time after which nothing is left of a grant: the lease has run out and its calls have ended. */
    val settleMs: Long get() = leaseMs + drainMs + marginMs

    /** Time after an owner's last answer from which the owner surely no longer counts the holder as its follower. */
    val unfollowMs: Long get() = echoMs + leaseMs + marginMs
}
