package io.oriolehall.harness.experiment

import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.FleetBuilder
import kotlin.random.Random

/**
 * What one organisation sends.
 *
 * @property input text of the request numbered n.
 */
data class OrganisationLoad(
    val organisation: String,
    val profile: ArrivalProfile,
    val pipeline: String,
    val deadlineMs: Long,
    val maxTokens: Int = 8,
    val input: (Int, Random) -> String = { n, _ -> "garment history of furisode $n" },
)

/**
 * Something done to the fleet [atMs] milliseconds after the start.
 *
 * @property cold endpoints that it leaves cold, whose time to full use is measured.
 */
class ScriptedFault(
    val atMs: Long,
    val name: String,
    val cold: List<String> = emptyList(),
    val cause: suspend (Fleet) -> Unit,
)

/**
 * One case to measure: a fleet, its load and its faults.
 *
 * @property capacity answers per second that the fleet can give.
 * @property window time over which goodput is measured, milliseconds from the start.
 */
class Scenario(
    val name: String,
    val purpose: String,
    val durationMs: Long,
    val fleet: FleetBuilder.() -> Unit,
    val loads: List<OrganisationLoad>,
    val faults: List<ScriptedFault> = emptyList(),
    val warmUpMs: Long = 0,
    val capacity: Double,
    val window: LongRange = 0..durationMs,
)

/** Settings under which a scenario runs: keys of section `[policy]`. */
data class PolicyVariant(val name: String, val policy: Map<String, String>)
