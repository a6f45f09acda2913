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

    /** Requests that were admitted and missed their deadline, whether the answer came late or was given up. */
    val missed: Int get() = late + (refusals["deadline-exceeded"] ?: 0)
}

/**
 * What an endpoint counted.
 *
 * @property alive false when its process had ended.
 * @property fullUseMs time from a cold start under load until it ran all that it bears when warm; null when it did not.
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
    val fullUseMs: Long? = null,
)

/**
 * One run of a scenario under one variant.
 *
 * @property settings keys of section `[policy]` that differ from the defaults.
 * @property loadAverage the machine's load of the last minute when the run ended.
 * @property goodput answers in time per second within the scenario's window, as a share of its capacity.
 * @property inTimePerSecond whole answers in time, by the second in which they arrived.
 */
@Serializable
data class RunResult(
    val scenario: String,
    val variant: String,
    val settings: Map<String, String>,
    val seed: Long,
    val loadAverage: Double,
    val organisations: List<OrganisationResult>,
    val endpoints: List<EndpointResult>,
    val costs: List<StageCost>,
    val goodput: Double,
    val inTimePerSecond: List<Int>,
) {
    val sent: Int get() = organisations.sumOf(OrganisationResult::sent)
    val inTime: Int get() = organisations.sumOf(OrganisationResult::inTime)
    val attainment: Double get() = if (sent == 0) 1.0 else inTime.toDouble() / sent

    /** Share of the admitted requests that missed their deadline. */
    val missedShare: Double get() {
        val admitted = sent - organisations.sumOf(OrganisationResult::notRun)
        return if (admitted == 0) 0.0 else organisations.sumOf(OrganisationResult::missed).toDouble() / admitted
    }
    val overloads: Int get() = endpoints.sumOf(EndpointResult::overloads)
    val lost: Int get() = endpoints.count { !it.alive }
    val wastedShare: Double get() {
        val wasted = costs.sumOf(StageCost::wastedMs)
        return if (wasted == 0.0) 0.0 else wasted / (wasted + costs.sumOf(StageCost::busyMs))
    }
}
