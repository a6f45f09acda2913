package io.oriolehall.harness.experiment

import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.FleetBuilder
import kotlin.random.Random

/**
 * What one organisation sends.
 *
 * @property input text of the request numbered n.
 * @property fromMs time of its first request, milliseconds from the start.
 */
data class OrganisationLoad(
    val organisation: String,
    val profile: ArrivalProfile,
    val pipeline: String,
    val deadlineMs: Long,
    val maxTokens: Int = 8,
    val input: (Int, Random) -> String = { n, _ -> "garment history of furisode $n" },
)

/** Something done to the fleet [atMs] milliseconds after the start. */
class ScriptedFault(val atMs: Long, val name: String, val cause: suspend (Fleet) -> Unit)

/** One case to measure: a fleet, its load and its faults. */
class Scenario(
    val name: String,
    val purpose: String,
    val durationMs: Long,
    val fleet: FleetBuilder.() -> Unit,
    val loads: List<OrganisationLoad>,
    val faults: List<ScriptedFault> = emptyList(),
    val warmUpMs: Long = 0,
)

/** Settings under which a scenario runs: keys of section `[policy]`. */
data class PolicyVariant(val name: String, val policy: Map<String, String>)
