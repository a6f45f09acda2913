package io.oriolehall.harness.experiment

import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.fleetSpec
import io.oriolehall.harness.process.MachineLock
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking

/**
 * Runs a scenario under several variants alternately, each run on a fleet of its own, so that a change of the machine's
 * load in the meantime falls on all of them. Holds the machine lock meanwhile.
 */
class Experiment(
    private val scenario: Scenario,
    private val variants: List<PolicyVariant>,
    private val seeds: List<Long>,
    private val onProgress: (String) -> Unit = {},
) {
    fun run(): List<RunResult> = MachineLock.take().use {
        runBlocking(Dispatchers.Default) {
            seeds.flatMap { seed -> variants.map { runOnce(it, seed) } }
        }
    }

    private suspend fun runOnce(variant: PolicyVariant, seed: Long): RunResult {
        val spec = fleetSpec("experiment-${scenario.name}-${variant.name}-$seed") {
            scenario.fleet(this)
            variant.policy.forEach { (key, value) -> setting("policy", key, value) }
        }
        return Fleet.start(spec).use { fleet ->
            delay(scenario.warmUpMs)
            LoadGenerator(fleet, scenario, seed).run(variant).also { onProgress(ReportTable.line(it)) }
        }
    }
}
