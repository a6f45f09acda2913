package io.oriolehall.dispatch.limits

/**
 * The [RepeatAllowance] of each service. All of them count from the start of the process, not from the first request to
 * a service, so a service first used long after the start has its full share of the allowance. Not thread-safe.
 *
 * The parameters are those of [RepeatAllowance].
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
