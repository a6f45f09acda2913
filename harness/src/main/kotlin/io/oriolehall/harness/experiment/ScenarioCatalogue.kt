package io.oriolehall.harness.experiment

import io.oriolehall.harness.fleet.FleetBuilder
import io.oriolehall.model.StageKind
import io.oriolehall.standins.endpoint.Behaviour

/** The cases that are measured, by name. */
object ScenarioCatalogue {
    private const val DEADLINE_MS = 2_000L
    private const val RUN_MS = 15_000L
    private const val FAULT_MS = 5_000L
    private const val WARM_UP_MS = 6_000L
    private val ENGINE_ZONES = listOf("z1", "z2")
    private const val ENGINES_PER_ZONE = 2
    private const val ENTRIES_PER_ZONE = 4

    /** The text that ends an engine which runs it. */
    const val CRASHING_TEXT = "obi of doom"

    val All: Map<String, Scenario> = listOf(
        Scenario(
            name = "steady",
            purpose = "seven tenths of what the engines can carry",
            durationMs = RUN_MS,
            fleet = { standard() },
            loads = organisations(perSecond = STEADY_RATE),
            warmUpMs = WARM_UP_MS,
        ),
        Scenario(
            name = "burst",
            purpose = "one large organisation sends five times its rate, which makes three times the whole, for 10 s",
            durationMs = 20_000,
            fleet = { standard() },
            loads = organisations(perSecond = STEADY_RATE).mapIndexed { index, load ->
                if (index > 0) load else load.copy(profile = largeBurst())
            },
            warmUpMs = WARM_UP_MS,
        ),
        Scenario(
            name = "cold-one",
            purpose = "one engine is replaced by a cold one under full load",
            durationMs = RUN_MS,
            fleet = { standard() },
            loads = organisations(perSecond = STEADY_RATE),
            faults = listOf(ScriptedFault(FAULT_MS, "restart gen-z1-1") { it.endpoint("gen-z1-1").restart() }),
            warmUpMs = WARM_UP_MS,
        ),
        Scenario(
            name = "cold-unannounced",
            purpose = "one engine turns cold without its process ending",
            durationMs = RUN_MS,
            fleet = { standard() },
            loads = organisations(perSecond = STEADY_RATE),
            faults = listOf(
                ScriptedFault(FAULT_MS, "gen-z1-1 turns cold") {
                    it.endpoint("gen-z1-1").behave(Behaviour(coldNow = true))
                },
            ),
            warmUpMs = WARM_UP_MS,
        ),
        Scenario(
            name = "slow-stage",
            purpose = "the engines run at a fifth of their speed, then one after the other ends",
            durationMs = 20_000,
            fleet = { standard() },
            loads = organisations(perSecond = STEADY_RATE),
            faults = slowThenDead(),
            warmUpMs = WARM_UP_MS,
        ),
        Scenario(
            name = "crashing-request",
            purpose = "a request that ends each engine is sent again without end",
            durationMs = RUN_MS,
            fleet = { standard(listOf("--crash-on=$CRASHING_TEXT")) },
            loads = organisations(perSecond = STEADY_RATE / 2) + OrganisationLoad(
                organisation = "small-2",
                profile = ArrivalProfile.Steady(perSecond = CRASHING_RATE),
                pipeline = "summary",
                deadlineMs = DEADLINE_MS,
                input = { _, _ -> CRASHING_TEXT },
            ),
            warmUpMs = WARM_UP_MS,
        ),
    ).associateBy(Scenario::name)

    private const val STEADY_RATE = 45.0
    private const val SMALL_SHARE = 0.25
    private const val CRASHING_RATE = 2.0
    private const val SLOW_FACTOR = 5.0
    private const val BETWEEN_DEATHS_MS = 2_000L

    private fun largeBurst() =
        ArrivalProfile.Burst(perSecond = STEADY_RATE / 2, factor = 5.0, fromMs = FAULT_MS, lengthMs = 10_000)

    private fun organisations(perSecond: Double): List<OrganisationLoad> = listOf(
        load("large", perSecond / 2),
        load("small-1", perSecond * SMALL_SHARE),
        load("small-2", perSecond * SMALL_SHARE),
    )

    private fun load(organisation: String, perSecond: Double) =
        OrganisationLoad(organisation, ArrivalProfile.Steady(perSecond), "summary", DEADLINE_MS)

    private fun slowThenDead(): List<ScriptedFault> {
        val engines = ENGINE_ZONES.flatMap { zone -> (1..ENGINES_PER_ZONE).map { "gen-$zone-$it" } }
        val slow = ScriptedFault(FAULT_MS, "engines at a fifth") { fleet ->
            engines.forEach { fleet.endpoint(it).behave(Behaviour(slowFactor = SLOW_FACTOR)) }
        }
        val deaths = engines.dropLast(1).mapIndexed { index, id ->
            ScriptedFault(2 * FAULT_MS + index * BETWEEN_DEATHS_MS, "$id ends") { it.endpoint(id).process.kill() }
        }
        return listOf(slow) + deaths
    }

    /** Eight instances and four engines in two zones; an engine runs eight calls of 500 ms at once when warm. */
    private fun FleetBuilder.standard(engineArguments: List<String> = emptyList()) {
        for (zone in ENGINE_ZONES) {
            zone(zone) {
                entries(ENTRIES_PER_ZONE)
                endpoint("enc-$zone", "encoders", StageKind.ENCODE, warmLimit = 64, coldLimit = 64)
                endpoint("ret-$zone", "retrievers", StageKind.RETRIEVE, warmLimit = 64, coldLimit = 64)
                endpoint("rank-$zone", "rerankers", StageKind.RERANK, warmLimit = 64, coldLimit = 64)
                repeat(ENGINES_PER_ZONE) {
                    endpoint(
                        id = "gen-$zone-${it + 1}",
                        pool = "engines",
                        kind = StageKind.GENERATE,
                        coldLimit = 2,
                        warmLimit = 8,
                        arguments = listOf("--service-ms=340", "--tokens-per-second=50") + engineArguments,
                    )
                }
            }
        }
        listOf("large", "small-1", "small-2").forEach { organisation(it) }
        pipeline("summary") {
            stage("encode", StageKind.ENCODE, "encoders", expectedMs = 15)
            stage("retrieve", StageKind.RETRIEVE, "retrievers", expectedMs = 15)
            stage("rerank", StageKind.RERANK, "rerankers", expectedMs = 15)
            stage("generate", StageKind.GENERATE, "engines", expectedMs = 500)
        }
    }
}
