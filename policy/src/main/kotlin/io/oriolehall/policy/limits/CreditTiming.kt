package io.oriolehall.policy.limits

/**
 * Times of the credit lease protocol, milliseconds.
 *
 * @property leaseMs how long calls may be started on a grant.
 * @property maxStampAgeMs maximum age of the stamp that a holder returns.
 * @property drainMs maximum duration of a call.
 * @property marginMs safety margin for clocks that run at different rates.
 * @property renewMs time between renewals while the endpoint has enough credits for all demand.
 * @property contendedRenewMs time between renewals while the demand for credits exceeds the budget.
 * @property retryMs time after which an unanswered request is retried.
 */
data class CreditTiming(
    val leaseMs: Long = 2_000,
    val maxStampAgeMs: Long = 1_500,
    val drainMs: Long = 4_000,
    val marginMs: Long = 50,
    val renewMs: Long = 1_000,
    val contendedRenewMs: Long = 250,
    val retryMs: Long = 500,
) {
    /** Time after which a grant has no effect any more: its lease has expired and its calls have ended. */
    val settleMs: Long get() = leaseMs + drainMs + marginMs

    /** Time after an owner's last answer when the owner has certainly stopped counting the holder as a follower. */
    val unfollowMs: Long get() = maxStampAgeMs + leaseMs + marginMs
}
