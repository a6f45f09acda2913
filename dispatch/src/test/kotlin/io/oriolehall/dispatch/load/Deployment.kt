package io.oriolehall.dispatch.load

import io.oriolehall.dispatch.admission.StageAdmission
import io.oriolehall.dispatch.config.PieceLimits

/** Workers of one service that computes pieces. */
internal data class ModelService(val name: String, val limits: PieceLimits, val zones: List<String>)

/**
 * A stage of a kind of request.
 *
 * @property share part of the requests that have it.
 * @property effort time of a piece relative to the service's.
 */
internal data class ModelStage(
    val service: String,
    val after: List<Int> = emptyList(),
    val pieces: Double = 1.0,
    val mostPieces: Int = 15,
    val bytes: Long,
    val share: Double = 1.0,
    val effort: Double = 1.0,
)

/**
 * A kind of request.
 *
 * @property perSecond mean arrivals over the whole deployment.
 * @property firstEventMs time that its service takes until the first event.
 * @property worth what an answer in time is worth to its caller, relative to others.
 */
internal data class ModelKind(
    val name: String,
    val perSecond: Double,
    val priority: Int,
    val objectiveMs: Long,
    val deadlineMs: Long,
    val firstEventMs: Long,
    val worth: Double,
    val lateWorth: Double,
    val stages: List<ModelStage>,
) {
    val services: Set<String> get() = stages.mapTo(mutableSetOf(), ModelStage::service)
}

/** [kinds] (all when null) arrive [factor] times as often from [fromMs] until [untilMs]. */
internal data class Burst(val fromMs: Long, val untilMs: Long, val factor: Double, val kinds: Set<String>? = null)

/** The workers of [zone] are gone from [fromMs] until [untilMs]; of [service] only, when it is set. */
internal data class Outage(val fromMs: Long, val untilMs: Long, val zone: String, val service: String? = null)

internal data class ModelDay(
    val lengthMs: Long,
    val bursts: List<Burst> = emptyList(),
    val outages: List<Outage> = emptyList(),
)

internal data class Deployment(
    val instances: Int,
    val zones: List<String>,
    val services: List<ModelService>,
    val kinds: List<ModelKind>,
) {
    /** True when a kind that gives way uses all stages of [kind]. */
    fun othersGiveWay(kind: ModelKind): Boolean =
        kinds.any { StageAdmission.givesWay(it.priority) && it.services.containsAll(kind.services) }
}

private fun service(name: String, zones: List<String>, batch: Int, pieceMs: Double, roomBytes: Long) = ModelService(
    name,
    PieceLimits(
        slots = 1,
        batch = batch,
        callMs = 240.0,
        pieceMs = pieceMs,
        resultRoomBytes = roomBytes,
        resultLifetimeMs = 4_000,
    ),
    zones,
)

private fun chain(first: String, second: String, third: String, secondPieces: Double, at: Int = 0) = listOf(
    ModelStage(first, bytes = 8_000, effort = 0.3),
    ModelStage(second, after = listOf(at), pieces = secondPieces, bytes = 60_000),
    ModelStage(third, after = listOf(at + 1), pieces = 6.0, bytes = 6_000),
)

/** Seven instances and eleven stage workers in three zones: few workers, large fixed cost, little memory. */
internal val SmallDeployment = Deployment(
    instances = 7,
    zones = listOf("a", "b", "c"),
    services = listOf(
        service("first", listOf("a", "b", "c"), batch = 7, pieceMs = 29.7, roomBytes = 8_400_000),
        service("second", listOf("a", "a", "b", "c"), batch = 12, pieceMs = 17.5, roomBytes = 1_371_430),
        service("third", listOf("a", "b", "b", "c"), batch = 19, pieceMs = 10.9, roomBytes = 207_273),
    ),
    kinds = listOf(
        ModelKind(
            "summary", 4.8, 1, 1_400, 15_000, 160, 4.3, 0.64,
            listOf(ModelStage("first", pieces = 2.5, mostPieces = 10, bytes = 800_000, share = 0.7)),
        ),
        ModelKind("advice", 6.95, 0, 2_000, 15_000, 60, 2.0, 0.3, chain("first", "second", "third", 4.0)),
        ModelKind(
            "label", 7.72, 2, 2_000, 6_000, 80, 0.43, 0.065,
            listOf(ModelStage("first", pieces = 1.5, mostPieces = 6, bytes = 800_000, share = 0.4)) +
                chain("first", "second", "third", 4.0, at = 1),
        ),
    ),
)

/** Eight instances and twelve stage workers in four zones; the largest work goes the whole way. */
internal val WideDeployment = Deployment(
    instances = 8,
    zones = listOf("a", "b", "c", "d"),
    services = listOf(
        service("first", listOf("a", "b", "c", "d"), batch = 14, pieceMs = 14.9, roomBytes = 16_625_000),
        service("second", listOf("a", "b", "c", "d"), batch = 52, pieceMs = 3.92, roomBytes = 5_806_670),
        service("third", listOf("a", "b", "c", "d"), batch = 40, pieceMs = 5.18, roomBytes = 434_783),
    ),
    kinds = listOf(
        ModelKind(
            "draft", 11.8, 1, 2_500, 15_000, 160, 5.3, 0.79,
            listOf(ModelStage("first", pieces = 1.5, mostPieces = 6, bytes = 800_000, share = 0.4)) +
                chain("first", "second", "third", 8.0, at = 1),
        ),
        ModelKind("note", 18.8, 0, 1_900, 12_000, 60, 1.4, 0.21, chain("first", "second", "third", 8.0)),
        ModelKind(
            "sum", 18.8, 2, 990, 4_000, 80, 0.48, 0.072,
            listOf(ModelStage("first", pieces = 2.5, mostPieces = 10, bytes = 800_000, share = 0.7)),
        ),
    ),
)
