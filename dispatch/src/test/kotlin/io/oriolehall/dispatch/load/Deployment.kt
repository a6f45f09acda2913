package io.oriolehall.dispatch.load

import io.oriolehall.dispatch.admission.StageAdmission
import io.oriolehall.dispatch.config.PieceLimits

/** A service that computes pieces, with one worker for each entry of [zones]. */
internal data class SimulatedService(val name: String, val limits: PieceLimits, val zones: List<String>)

/**
 * A stage of a kind of request.
 *
 * @property pieces number of pieces, or its mean when it varies.
 * @property bytes size of the result of a piece.
 * @property share share of the requests that include this stage.
 * @property relativeCost time of a piece relative to the configured time of the service.
 */
internal data class SimulatedStage(
    val service: String,
    val after: List<Int> = emptyList(),
    val pieces: Double = 1.0,
    val maxPieces: Int = 15,
    val bytes: Long,
    val share: Double = 1.0,
    val relativeCost: Double = 1.0,
)

/**
 * A kind of request.
 *
 * @property perSecond mean arrivals per second over the whole deployment.
 * @property firstEventMs time that its service takes until the first event, milliseconds.
 * @property value value to the caller of a response on time, relative to other kinds.
 * @property lateValue value of a late response, on the same scale.
 */
internal data class RequestKind(
    val name: String,
    val perSecond: Double,
    val priority: Int,
    val objectiveMs: Long,
    val deadlineMs: Long,
    val firstEventMs: Long,
    val value: Double,
    val lateValue: Double,
    val stages: List<SimulatedStage>,
) {
    val services: Set<String> get() = stages.mapTo(mutableSetOf(), SimulatedStage::service)
}

/** Multiplies the arrival rate of [kinds] (all when null) by [factor] from [fromMs] until [untilMs]. */
internal data class Burst(val fromMs: Long, val untilMs: Long, val factor: Double, val kinds: Set<String>? = null)

/** Makes the workers of [zone] unavailable from [fromMs] until [untilMs]; only those of [service] when it is set. */
internal data class Outage(val fromMs: Long, val untilMs: Long, val zone: String, val service: String? = null)

/** Length and events of one simulation run. */
internal data class LoadScenario(
    val durationMs: Long,
    val bursts: List<Burst> = emptyList(),
    val outages: List<Outage> = emptyList(),
)

internal data class Deployment(
    val instances: Int,
    val zones: List<String>,
    val services: List<SimulatedService>,
    val kinds: List<RequestKind>,
) {
    /** True when a kind of request that is shed first uses all stage services of [kind]. */
    fun othersAreShedFirst(kind: RequestKind): Boolean =
        kinds.any { StageAdmission.isShedFirst(it.priority) && it.services.containsAll(kind.services) }
}

private fun service(name: String, zones: List<String>, batch: Int, pieceMs: Double, memBytes: Long) = SimulatedService(
    name,
    PieceLimits(
        slots = 1,
        batch = batch,
        callMs = 240.0,
        pieceMs = pieceMs,
        resultMemoryBytes = memBytes,
        resultLifetimeMs = 4_000,
    ),
    zones,
)

private fun threeStages(first: String, second: String, third: String, middlePieces: Double, offset: Int = 0) = listOf(
    SimulatedStage(first, bytes = 8_000, relativeCost = 0.3),
    SimulatedStage(second, after = listOf(offset), pieces = middlePieces, bytes = 60_000),
    SimulatedStage(third, after = listOf(offset + 1), pieces = 6.0, bytes = 6_000),
)

/** Seven instances and eleven stage workers in three zones: few workers, a large fixed cost per call, little memory. */
internal val SmallDeployment = Deployment(
    instances = 7,
    zones = listOf("a", "b", "c"),
    services = listOf(
        service("first", listOf("a", "b", "c"), batch = 7, pieceMs = 29.7, memBytes = 8_400_000),
        service("second", listOf("a", "a", "b", "c"), batch = 12, pieceMs = 17.5, memBytes = 1_371_430),
        service("third", listOf("a", "b", "b", "c"), batch = 19, pieceMs = 10.9, memBytes = 207_273),
    ),
    kinds = listOf(
        RequestKind(
            "summary", 4.8, 1, 1_400, 15_000, 160, 4.3, 0.64,
            listOf(SimulatedStage("first", pieces = 2.5, maxPieces = 10, bytes = 800_000, share = 0.7)),
        ),
        RequestKind("advice", 6.95, 0, 2_000, 15_000, 60, 2.0, 0.3, threeStages("first", "second", "third", 4.0)),
        RequestKind(
            "label", 7.72, 2, 2_000, 6_000, 80, 0.43, 0.065,
            listOf(SimulatedStage("first", pieces = 1.5, maxPieces = 6, bytes = 800_000, share = 0.4)) +
                threeStages("first", "second", "third", 4.0, offset = 1),
        ),
    ),
)

/** Eight instances and twelve stage workers in four zones; the most expensive kind of request uses all stages. */
internal val WideDeployment = Deployment(
    instances = 8,
    zones = listOf("a", "b", "c", "d"),
    services = listOf(
        service("first", listOf("a", "b", "c", "d"), batch = 14, pieceMs = 14.9, memBytes = 16_625_000),
        service("second", listOf("a", "b", "c", "d"), batch = 52, pieceMs = 3.92, memBytes = 5_806_670),
        service("third", listOf("a", "b", "c", "d"), batch = 40, pieceMs = 5.18, memBytes = 434_783),
    ),
    kinds = listOf(
        RequestKind(
            "draft", 11.8, 1, 2_500, 15_000, 160, 5.3, 0.79,
            listOf(SimulatedStage("first", pieces = 1.5, maxPieces = 6, bytes = 800_000, share = 0.4)) +
                threeStages("first", "second", "third", 8.0, offset = 1),
        ),
        RequestKind("note", 18.8, 0, 1_900, 12_000, 60, 1.4, 0.21, threeStages("first", "second", "third", 8.0)),
        RequestKind(
            "sum", 18.8, 2, 990, 4_000, 80, 0.48, 0.072,
            listOf(SimulatedStage("first", pieces = 2.5, maxPieces = 10, bytes = 800_000, share = 0.7)),
        ),
    ),
)
