package io.oriolehall.dispatch.limits

/**
 * The [RepeatAllowance] of each service. All count from the start of the process, not from a service's first request: a
 * service that is used for the first time long after the start has its whole part. Not safe for use by several threads.
 *
 * @param startedAtMs when the process started, monotonic milliseconds; the others as in [RepeatAllowance].
 */
class RepeatAllowances(
    private val ratio: Double,
    private val allowance: Double,
    private val windowMs: Long,
    private val startedAtMs: Long,
) {
    private val byService = HashMap<String, RepeatAllowance>()

    fun of(service: String): RepeatAllowance =
        byService.getOrPut(service) { RepeatAllowance(ratio, allowance, windowMs, startedAtMs) }
}
