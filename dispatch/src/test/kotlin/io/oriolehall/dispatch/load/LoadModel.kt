package io.oriolehall.dispatch.load

import io.oriolehall.dispatch.admission.StageAdmission
import io.oriolehall.dispatch.admission.StageLoads
import io.oriolehall.dispatch.stages.PieceInput
import io.oriolehall.dispatch.stages.PieceWork
import io.oriolehall.model.ZoneId
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/** What callers of one kind got. */
internal class KindTally {
    var asked = 0
    var onTime = 0
    var late = 0
    var refused = 0

    val onTimeShare get() = onTime.toDouble() / maxOf(1, asked)
}

/**
 * A day of a deployment in simulated time: callers, admission, stage queues and workers with their memory, and the
 * decisions of this module as they are. It plays what callers get in milliseconds, so that two policies are compared
 * over many seeds. Left out: the network, other faults than a lost zone, and the engines, which take a fixed time.
 */
internal class LoadModel(private val deployment: Deployment, private val day: ModelDay, seed: Int) {
    private val timeline = Timeline()
    private val random = Random(seed)
    private val admission = StageAdmission(random)

    /** False lets everyone in: the baseline. */
    var refusing = true
    private val owners = deployment.services.associate { it.name to ModelOwner(it, timeline, day, random) }
    private val limits = deployment.services.associate { it.name to it.limits }
    private val loads = List(deployment.instances) { StageLoads() }
    private var requests = 0

    val tallies = deployment.kinds.associate { it.name to KindTally() }

    /** Worth of what callers got, of what all requests in time would be worth. */
    val worth: Double
        get() {
            val earned = deployment.kinds.sumOf {
                val tally = tallies.getValue(it.name)
                tally.onTime * it.worth + tally.late * it.lateWorth
            }
            return earned / deployment.kinds.sumOf { tallies.getValue(it.name).asked * it.worth }
        }

    /** Mean part of a full call that calls took while more work waited. */
    fun fill(service: String): Double {
        val owner = owners.getValue(service)
        return owner.fullCallPieces.toDouble() / maxOf(1, owner.fullCalls) / limits.getValue(service).batch
    }

    fun play(): LoadModel {
        deployment.kinds.forEach(::arriveNext)
        timeline.run(day.lengthMs + LAST_ANSWERS_MS)
        return this
    }

    private fun arriveNext(kind: ModelKind) {
        val factor = day.bursts.filter {
            timeline.nowMs in it.fromMs until it.untilMs && (it.kinds == null || kind.name in it.kinds)
        }.fold(1.0) { product, burst -> product * burst.factor }
        val gapMs = -ln(1 - random.nextDouble()) * MS_PER_SECOND / (kind.perSecond * factor) * CLUMP
        timeline.after(minOf(gapMs, MOST_GAP_MS).toLong()) {
            if (timeline.nowMs >= day.lengthMs) return@after
            if (gapMs <= MOST_GAP_MS) repeat(1 + random.nextInt(2 * CLUMP - 1)) { arrive(kind) }
            arriveNext(kind)
        }
    }

    private fun arrive(kind: ModelKind) {
        tallies.getValue(kind.name).asked++
        val counts = kind.stages.map { if (random.nextDouble() < it.share) pieces(it) else 0 }
        Attempt(kind, counts, timeline.nowMs, again = false).begin()
    }

    private fun pieces(stage: ModelStage): Int {
        if (stage.pieces == 1.0 || stage.pieces == 4.0 || stage.pieces == 8.0) return stage.pieces.toInt()
        val normal = List(NORMAL_TERMS) { random.nextDouble() }.sum() - NORMAL_TERMS / 2.0
        return (stage.pieces * exp(normal * SPREAD - SPREAD * SPREAD / 2)).toInt().coerceIn(1, stage.mostPieces)
    }

    /** One attempt of a caller; a refused one comes back once. */
    private inner class Attempt(
        private val kind: ModelKind,
        private val counts: List<Int>,
        private val firstSentMs: Long,
        private val again: Boolean,
    ) {
        private val id = "r${requests++}"
        private val zone = deployment.zones.random(random)
        private val heard = loads.random(random)
        private val tally = tallies.getValue(kind.name)
        private val held = HashMap<Int, List<ModelResult>>()
        private val finals = kind.stages.indices - kind.stages.flatMap(ModelStage::after).toSet()
        private val done = mutableSetOf<Int>()
        private val begun = mutableSetOf<Int>()
        private var over = false
        private val objectiveAtMs = firstSentMs + kind.objectiveMs
        private val deadlineAtMs = firstSentMs + kind.deadlineMs

        fun begin() {
            val expectedMs = expectedMs()
            val decision = if (refusing && counts.any { it > 0 }) {
                admission.decide(
                    expectedMs,
                    objectiveAtMs - timeline.nowMs,
                    deadlineAtMs - timeline.nowMs,
                    kind.priority,
                    deployment.othersGiveWay(kind),
                )
            } else {
                StageAdmission.Decision.Admitted
            }
            if (decision is StageAdmission.Decision.Refused) refused(decision.retryAfterMs) else advance()
        }

        private fun refused(retryAfterMs: Long) {
            if (again || timeline.nowMs + retryAfterMs > deadlineAtMs) {
                tally.refused++
            } else {
                timeline.after(retryAfterMs) { Attempt(kind, counts, firstSentMs, again = true).begin() }
            }
        }

        private fun expectedMs(): Double {
            val ends = DoubleArray(counts.size)
            for (stage in counts.indices) {
                val spec = kind.stages[stage]
                val ownMs = if (counts[stage] == 0) 0.0 else stageMs(spec)
                ends[stage] = ownMs + (spec.after.maxOfOrNull { ends[it] } ?: 0.0)
            }
            return (ends.maxOrNull() ?: 0.0) + GENERATION_MS
        }

        private fun stageMs(spec: ModelStage) =
            heard.expectedMs(spec.service, limits.getValue(spec.service), timeline.nowMs)

        private fun advance() {
            if (over) return
            kind.stages.indices.filter { it !in begun && kind.stages[it].after.all(done::contains) }.forEach(::start)
            if (!over && done.size == kind.stages.size) finish()
        }

        private fun start(stage: Int) {
            begun += stage
            if (counts[stage] == 0) {
                done += stage
                return advance()
            }
            val spec = kind.stages[stage]
            val owner = owners.getValue(spec.service)
            heard.note(spec.service, owner.expectedMs(), timeline.nowMs)
            owner.run(counts[stage], spec.effort, { piece, group ->
                work(stage, piece, group)
            }, { freeScarce(stage) }) {
                heard.note(spec.service, owner.expectedMs(), timeline.nowMs)
                ended(stage, it)
            }
        }

        private fun ended(stage: Int, results: List<ModelResult>?) {
            if (results != null) held[stage] = results
            if (over) return releaseAll()
            if (results == null) {
                over = true
                tally.refused++
                return releaseAll()
            }
            done += stage
            kind.stages[stage].after.forEach(::release)
            advance()
        }

        private fun work(stage: Int, piece: Int, group: Long): PieceWork {
            val spec = kind.stages[stage]
            val leftMs = objectiveAtMs - GENERATION_MS - timeline.nowMs
            return PieceWork(
                requestId = id,
                stage = stage,
                piece = piece,
                input = if (spec.after.isEmpty()) PieceInput.Key(id) else PieceInput.Results(listOf(id)),
                group = group,
                arrivedAtMs = timeline.nowMs,
                preferredZone = preferredZone(stage),
                resultBytes = spec.bytes,
                holdsMemory = spec.after.any(::isScarce),
                objectiveAtMs = timeline.nowMs + leftMs / (1 + following(stage)),
                deadlineAtMs = deadlineAtMs,
                priority = kind.priority,
            )
        }

        private fun preferredZone(stage: Int): ZoneId? {
            val spec = kind.stages[stage]
            val inputs = spec.after.flatMap { held[it].orEmpty() }
            val bytes = spec.after.sumOf { kind.stages[it].bytes * counts[it] }
            return when {
                bytes >= LARGE_BYTES -> inputs.firstOrNull()?.worker?.endpoint?.zone
                spec.bytes >= LARGE_BYTES -> ZoneId(zone)
                else -> null
            }
        }

        private fun isScarce(stage: Int): Boolean {
            val spec = kind.stages[stage]
            val service = limits.getValue(spec.service)
            return service.resultRoomBytes < SCARCE_CALLS * service.batch * spec.bytes
        }

        private fun following(stage: Int): Int {
            val next = kind.stages.indices.filter { stage in kind.stages[it].after }
            return next.maxOfOrNull { 1 + following(it) } ?: 0
        }

        private fun freeScarce(stage: Int) = kind.stages[stage].after.filter(::isScarce).forEach(::release)

        private fun release(stage: Int) {
            if (stage in finals) return
            held.remove(stage)?.let { it.first().owner.free(it) }
        }

        private fun releaseAll() {
            held.values.forEach { it.first().owner.free(it) }
            held.clear()
        }

        private fun finish() {
            over = true
            timeline.after(kind.firstEventMs) {
                releaseAll()
                if (timeline.nowMs <= objectiveAtMs) tally.onTime++ else tally.late++
            }
        }
    }

    private companion object {
        const val LAST_ANSWERS_MS = 20_000L
        const val MS_PER_SECOND = 1_000.0
        const val MOST_GAP_MS = 100.0

        /** Requests that arrive together, on average. */
        const val CLUMP = 3
        const val GENERATION_MS = 200L
        const val LARGE_BYTES = 100_000L
        const val SCARCE_CALLS = 4
        const val NORMAL_TERMS = 12
        const val SPREAD = 0.5
    }
}
