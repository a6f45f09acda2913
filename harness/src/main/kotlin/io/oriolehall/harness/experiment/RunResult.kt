package io.oriolehall.harness.experiment

import kotlinx.serialization.Serializable

/**
 * What became of one organisation's requests.
 *
 * @property inTime whole answers within the deadline, counted from the time at which the request was due to be sent.
 * @property late whole answers after it.
 * @property notRun refusals with the outcome not-run.
 * @property refused other refusals, and problems in mid-answer.
 * @property broken broken connections.
 */
@Serializable
data class OrganisationResult(
    val organisation: String,
    val sent: Int,
    val inTime: Int,
    val late: Int,
    val notRun: Int,
    val refused: Int,
    val broken: Int,
    val p50Ms: Long,
    val p95Ms: Long,
    val p99Ms: Long,
    val refusalP95Ms: Long,
    val refusals: Map<String, Int> = emptyMap(),
) {
    /** Share of all requests answered whole in time. */
    val attainment: Double get() = if (sent == 0) 1.0 else inTime.toDouble() / sent
}

/**
 * What an endpoint counted.
 *
 * @property alive false when its process had ended.
 */
@Serializable
data class EndpointResult(
    val endpoint: String,
    val alive: Boolean,
    val overloads: Int = 0,
    val declined: Int = 0,
    val maxConcurrency: Int = 0,
    val wastedMs: Double = 0.0,
    val calls: Int = 0,
)

/**
 * One run of a scenario under one variant.
 *
 * @property inTimePerSecond whole answers in time, by the second in which they were due to be sent.
 */
@Serializable
data class RunResult(
    val scenario: String,
    val variant: String,
    val seed: Long,
    val organisations: List<OrganisationResult>,
    val endpoints: List<EndpointResult>,
    val inTimePerSecond: List<Int>,
) {
    val sent: Int get() = organisations.sumOf(OrganisationResult::sent)
    val inTime: Int get() = organisations.sumOf(OrganisationResult::inTime)
    val late: Int get() = organisations.sumOf(OrganisationResult::late)
    val attainment: Double get() = if (sent == 0) 1.0 else inTime.toDouble() / sent

    /** Share of late answers among all whole answers. */
    val lateShare: Double get() = if (inTime + late == 0) 0.0 else late.toDouble() / (inTime + late)
    val overloads: Int get() = endpoints.sumOf(EndpointResult::overloads)
    val lost: Int get() = endpoints.count { !it.alive }
}
