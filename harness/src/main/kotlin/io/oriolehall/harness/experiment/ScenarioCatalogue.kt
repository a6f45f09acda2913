package io.oriolehall.harness.experiment

import io.oriolehall.harness.fleet.FleetBuilder
import io.oriolehall.model.StageKind
import io.oriolehall.standins.endpoint.Behaviour
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlin.random.Random

/** The cases that are measured, by name. */
object ScenarioCatalogue {
    private const val DEADLINE_MS = 4_000L
    private const val RUN_MS = 20_000L
    private const val FAULT_MS = 5_000L
    private const val BURST_MS = 10_000L
    private const val WARM_UP_MS = 6_000L
    private const val ENTRIES = 4
    private const val ENGINES = 4
    private val EngineIds = (1..ENGINES).map { "gen-$it" }

    /** How an engine runs when it is warm: [calls] at once, each for [promptMs] and then a token each 20 ms. */
    private class Engine(val calls: Int, val promptMs: Int, val expectedMs: Long)

    private val OneSecond = Engine(calls = 8, promptMs = 860, expectedMs = 1_000)

    /** As many answers per second as [OneSecond], and a fifth of the speed still fits into the deadline. */
    private val HalfASecond = Engine(calls = 4, promptMs = 360, expectedMs = 500)

    /** Answers per second that the engines can give. */
    private const val CAPACITY = 32.0
    private const val STEADY_RATE = 0.7 * CAPACITY
    private const val SMALL_SHARE = 0.25
    private const val CRASHING_RATE = 2.0
    private const val SLOW_FACTOR = 5.0
    private const val BETWEEN_DEATHS_MS = 2_000L
    private const val PREFIXES = 24
    private const val PREFIX_WORDS = 64

    /** The text that ends an engine which runs it. */
    const val CRASHING_TEXT = "obi of doom"

    val All: Map<String, Scenario> = listOf(
        scenario("steady", "seven tenths of what the engines can carry"),
        scenario(
            name = "burst",
            purpose = "one large organisation sends five times its rate, which makes three times the whole, for 10 s",
            durationMs = 2 * FAULT_MS + BURST_MS,
            loads = organisations(STEADY_RATE).mapIndexed { index, load ->
                if (index > 0) load else load.copy(profile = largeBurst())
            },
            window = FAULT_MS..FAULT_MS + BURST_MS,
        ),
        scenario(
            name = "slow-stage",
            purpose = "the engines run at a fifth of their speed, then one after the other ends",
            faults = slowThenDead(),
            window = FAULT_MS..2 * FAULT_MS,
            engine = HalfASecond,
        ),
        scenario(
            name = "cold-one",
            purpose = "one engine is replaced by a cold one under full load",
            loads = organisations(CAPACITY),
            faults = listOf(restart(EngineIds.take(1))),
        ),
        scenario(
            name = "cold-half",
            purpose = "half of the engines are replaced by cold ones under full load",
            loads = organisations(CAPACITY),
            faults = listOf(restart(EngineIds.take(ENGINES / 2))),
        ),
        scenario(
            name = "cold-unannounced",
            purpose = "one engine turns cold under full load without its process ending",
            loads = organisations(CAPACITY),
            faults = listOf(
                ScriptedFault(FAULT_MS, "gen-1 turns cold", cold = EngineIds.take(1)) {
                    it.endpoint("gen-1").behave(Behaviour(coldNow = true))
                },
            ),
        ),
        scenario(
            name = "prefixes",
            purpose = "prompts begin with one of $PREFIXES texts, of which each engine's cache holds a third",
            loads = organisations(STEADY_RATE).map { it.copy(pipeline = "draft", input = ::sharedPrefix) },
            engineArguments = listOf("--cache-tokens=${PREFIXES / 3 * PREFIX_WORDS}"),
        ),
        scenario(
            name = "crashing-request",
            purpose = "a request that ends each engine is sent again without end",
            loads = organisations(STEADY_RATE / 2) + OrganisationLoad(
                organisation = "small-2",
                profile = ArrivalProfile.Steady(perSecond = CRASHING_RATE),
                pipeline = "summary",
                deadlineMs = DEADLINE_MS,
                input = { _, _ -> CRASHING_TEXT },
            ),
            engineArguments = listOf("--crash-on=$CRASHING_TEXT"),
        ),
    ).associateBy(Scenario::name)

    private fun scenario(
        name: String,
        purpose: String,
        durationMs: Long = RUN_MS,
        loads: List<OrganisationLoad> = organisations(STEADY_RATE),
        faults: List<ScriptedFault> = emptyList(),
        engine: Engine = OneSecond,
        engineArguments: List<String> = emptyList(),
        window: LongRange = 0..durationMs,
    ) = Scenario(
        name = name,
        purpose = purpose,
        durationMs = durationMs,
        fleet = { standard(engine, engineArguments) },
        loads = loads,
        faults = faults,
        warmUpMs = WARM_UP_MS,
        capacity = CAPACITY,
        window = window,
    )

    private fun largeBurst() =
        ArrivalProfile.Burst(perSecond = STEADY_RATE / 2, factor = 5.0, fromMs = FAULT_MS, lengthMs = BURST_MS)

    private fun organisations(perSecond: Double): List<OrganisationLoad> = listOf(
        load("large", perSecond / 2),
        load("small-1", perSecond * SMALL_SHARE),
        load("small-2", perSecond * SMALL_SHARE),
    )

    private fun load(organisation: String, perSecond: Double) =
        OrganisationLoad(organisation, ArrivalProfile.Steady(perSecond), "summary", DEADLINE_MS)

    private fun sharedPrefix(n: Int, random: Random): String {
        val prefix = random.nextInt(PREFIXES)
        return (1..PREFIX_WORDS).joinToString(" ") { "rules-$prefix-$it" } + " request $n"
    }

    private fun restart(engines: List<String>) =
        ScriptedFault(FAULT_MS, "restart ${engines.joinToString()}", cold = engines) { fleet ->
            coroutineScope { engines.forEach { launch { fleet.endpoint(it).restart() } } }
        }

    private fun slowThenDead(): List<ScriptedFault> {
        val slow = ScriptedFault(FAULT_MS, "engines at a fifth") { fleet ->
            EngineIds.forEach { fleet.endpoint(it).behave(Behaviour(slowFactor = SLOW_FACTOR)) }
        }
        val deaths = EngineIds.dropLast(1).mapIndexed { index, id ->
            ScriptedFault(2 * FAULT_MS + index * BETWEEN_DEATHS_MS, "$id ends") { it.endpoint(id).process.kill() }
        }
        return listOf(slow) + deaths
    }

    private fun FleetBuilder.standard(engine: Engine, engineArguments: List<String>) {
        zone("z1") {
            entries(ENTRIES)
            endpoint("enc", "encoders", StageKind.ENCODE, warmLimit = 64, coldLimit = 64)
            endpoint("ret", "retrievers", StageKind.RETRIEVE, warmLimit = 64, coldLimit = 64)
            endpoint("rank", "rerankers", StageKind.RERANK, warmLimit = 64, coldLimit = 64)
            EngineIds.forEach { id ->
                endpoint(
                    id = id,
                    pool = "engines",
                    kind = StageKind.GENERATE,
                    coldLimit = 2,
                    warmLimit = engine.calls,
                    arguments = listOf("--service-ms=${engine.promptMs}", "--tokens-per-second=50") + engineArguments,
                )
            }
        }
        listOf("large", "small-1", "small-2").forEach { organisation(it) }
        pipeline("summary") {
            stage("encode", StageKind.ENCODE, "encoders", expectedMs = 15)
            stage("retrieve", StageKind.RETRIEVE, "retrievers", expectedMs = 15)
            stage("rerank", StageKind.RERANK, "rerankers", expectedMs = 15)
            stage("generate", StageKind.GENERATE, "engines", expectedMs = engine.expectedMs)
        }
        pipeline("draft") {
            stage("generate", StageKind.GENERATE, "engines", expectedMs = engine.expectedMs)
        }
    }
}
