package io.oriolehall.dispatch.limits

/**
 * The [RetryAllowance] of each service. All of them count from the start of the process, not from the first request to
 * a service, so a service first used long after the start has its full share of the allowance. Not thread-safe.
 *
 * The parameters are those of [RetryAllowance].
 */
class RetryAllowances(
    private val ratio: Double,
    private val allowance: Double,
    private val windowMs: Long,
    private val startedAtMs: Long,
) {
    private val byService = HashMap<String, RetryAllowance>()

    fun of(service: String): RetryAllowance =
        byService.getOrPut(service) { newAllowance() }

    /** Retries to [service] that this instance, one of [instances], may still send in the current window. */
    fun available(service: String, nowMs: Long, instances: Int): Int =
        (byService[service] ?: newAllowance()).available(nowMs, instances)

    private fun newAllowance() = RetryAllowance(ratio, allowance, windowMs, startedAtMs)
}
