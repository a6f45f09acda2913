package io.oriolehall.dispatch.load

import io.oriolehall.dispatch.admission.StageAdmission
import io.oriolehall.dispatch.admission.StageTimeEstimates
import io.oriolehall.dispatch.stages.PieceInput
import io.oriolehall.dispatch.stages.PieceWork
import io.oriolehall.model.ZoneId
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/** Outcomes of the requests of one kind. */
internal class OutcomeCounts {
    var sent = 0
    var onTime = 0
    var late = 0
    var refused = 0

    val onTimeShare get() = onTime.toDouble() / maxOf(1, sent)
}

/**
 * Discrete-event simulation of a deployment under load: callers, admission, stage queues, and workers with their
 * memory. Admission and queueing use the production classes of this module. A run takes milliseconds, so policies can
 * be compared over many seeds. The simulation omits the network, faults other than lost workers, and the engines, which
 * take a fixed time.
 */
internal class LoadModel(private val deployment: Deployment, private val scenario: LoadScenario, seed: Int) {
    private val timeline = Timeline()
    private val random = Random(seed)
    private val admission = StageAdmission(random)

    /** False admits every request, as a baseline. */
    var admissionEnabled = true
    private val owners = deployment.services.associate {
        it.name to SimulatedQueueOwner(it, timeline, scenario, random)
    }
    private val limits = deployment.services.associate { it.name to it.limits }
    private val timeEstimates = List(deployment.instances) { StageTimeEstimates() }
    private var requestCount = 0

    val outcomes = deployment.kinds.associate { it.name to OutcomeCounts() }

    /** Value of the responses relative to the value if all requests were answered on time. */
    val value: Double
        get() {
            val achieved = deployment.kinds.sumOf {
                val outcomeCounts = outcomes.getValue(it.name)
                outcomeCounts.onTime * it.value + outcomeCounts.late * it.lateValue
            }
            return achieved / deployment.kinds.sumOf { outcomes.getValue(it.name).sent * it.value }
        }

    /** Mean fill of the calls that started while more pieces were waiting, relative to a full call. */
    fun fillRatio(service: String): Double {
        val owner = owners.getValue(service)
        return owner.backloggedCallPieces.toDouble() / maxOf(1, owner.backloggedCalls) / limits.getValue(service).batch
    }

    fun simulate(): LoadModel {
        deployment.kinds.forEach(::scheduleArrival)
        timeline.run(scenario.durationMs + DRAIN_MS)
        return this
    }

    private fun scheduleArrival(kind: RequestKind) {
        val factor = scenario.bursts.filter {
            timeline.nowMs in it.fromMs until it.untilMs && (it.kinds == null || kind.name in it.kinds)
        }.fold(1.0) { product, burst -> product * burst.factor }
        val gapMs =
            -ln(1 - random.nextDouble()) * MS_PER_SECOND / (kind.perSecond * factor) * MEAN_SIMULTANEOUS_ARRIVALS
        timeline.schedule(minOf(gapMs, MAX_GAP_MS).toLong()) {
            if (timeline.nowMs >= scenario.durationMs) return@schedule
            if (gapMs <= MAX_GAP_MS) repeat(1 + random.nextInt(2 * MEAN_SIMULTANEOUS_ARRIVALS - 1)) { arrive(kind) }
            scheduleArrival(kind)
        }
    }

    private fun arrive(kind: RequestKind) {
        outcomes.getValue(kind.name).sent++
        val pieceCounts = kind.stages.map { if (random.nextDouble() < it.share) drawPieceCount(it) else 0 }
        Attempt(kind, pieceCounts, timeline.nowMs, isRetry = false).begin()
    }

    /** Draws from a log-normal distribution, except for stages with 1, 4 or 8 pieces, which do not vary. */
    private fun drawPieceCount(stage: SimulatedStage): Int {
        if (stage.pieces == 1.0 || stage.pieces == 4.0 || stage.pieces == 8.0) return stage.pieces.toInt()
        val normal = List(UNIFORM_TERMS) { random.nextDouble() }.sum() - UNIFORM_TERMS / 2.0
        return (stage.pieces * exp(normal * LOG_SIGMA - LOG_SIGMA * LOG_SIGMA / 2)).toInt().coerceIn(1, stage.maxPieces)
    }

    /** One attempt of a caller; a refused request is retried once. */
    private inner class Attempt(
        private val kind: RequestKind,
        private val pieceCounts: List<Int>,
        private val firstSentMs: Long,
        private val isRetry: Boolean,
    ) {
        private val id = "r${requestCount++}"
        private val zone = deployment.zones.random(random)
        private val stageTimeEstimates = timeEstimates.random(random)
        private val outcomeCounts = outcomes.getValue(kind.name)
        private val resultsByStage = HashMap<Int, List<SimulatedResult>>()
        private val finalStages = kind.stages.indices - kind.stages.flatMap(SimulatedStage::after).toSet()
        private val completed = mutableSetOf<Int>()
        private val started = mutableSetOf<Int>()
        private var finished = false
        private val objectiveAtMs = firstSentMs + kind.objectiveMs
        private val deadlineAtMs = firstSentMs + kind.deadlineMs

        fun begin() {
            val expectedMs = expectedMs()
            val decision = if (admissionEnabled && pieceCounts.any { it > 0 }) {
                admission.decide(
                    expectedMs,
                    objectiveAtMs - timeline.nowMs,
                    deadlineAtMs - timeline.nowMs,
                    kind.priority,
                    deployment.othersAreShedFirst(kind),
                )
            } else {
                StageAdmission.Decision.Admitted
            }
            if (decision is StageAdmission.Decision.Refused) onRefused(decision.retryAfterMs) else advance()
        }

        private fun onRefused(retryAfterMs: Long) {
            if (isRetry || timeline.nowMs + retryAfterMs > deadlineAtMs) {
                outcomeCounts.refused++
            } else {
                timeline.schedule(retryAfterMs) { Attempt(kind, pieceCounts, firstSentMs, isRetry = true).begin() }
            }
        }

        private fun expectedMs(): Double {
            val stageEndsMs = DoubleArray(pieceCounts.size)
            for (stage in pieceCounts.indices) {
                val spec = kind.stages[stage]
                val ownMs = if (pieceCounts[stage] == 0) 0.0 else stageMs(spec)
                stageEndsMs[stage] = ownMs + (spec.after.maxOfOrNull { stageEndsMs[it] } ?: 0.0)
            }
            return (stageEndsMs.maxOrNull() ?: 0.0) + GENERATION_MS
        }

        private fun stageMs(spec: SimulatedStage) =
            stageTimeEstimates.expectedMs(spec.service, limits.getValue(spec.service), timeline.nowMs)

        private fun advance() {
            if (finished) return
            kind.stages.indices.filter {
                it !in started && kind.stages[it].after.all(completed::contains)
            }.forEach(::start)
            if (!finished && completed.size == kind.stages.size) finish()
        }

        private fun start(stage: Int) {
            started += stage
            if (pieceCounts[stage] == 0) {
                completed += stage
                return advance()
            }
            val spec = kind.stages[stage]
            val owner = owners.getValue(spec.service)
            stageTimeEstimates.record(spec.service, owner.expectedMs(), timeline.nowMs)
            owner.run(pieceCounts[stage], spec.relativeCost, { piece, group ->
                createPiece(stage, piece, group)
            }, { releaseScarceInputs(stage) }) {
                stageTimeEstimates.record(spec.service, owner.expectedMs(), timeline.nowMs)
                onStageEnded(stage, it)
            }
        }

        private fun onStageEnded(stage: Int, results: List<SimulatedResult>?) {
            if (results != null) resultsByStage[stage] = results
            if (finished) return releaseAll()
            if (results == null) {
                finished = true
                outcomeCounts.refused++
                return releaseAll()
            }
            completed += stage
            kind.stages[stage].after.forEach(::release)
            advance()
        }

        private fun createPiece(stage: Int, piece: Int, group: Long): PieceWork {
            val spec = kind.stages[stage]
            val remainingMs = objectiveAtMs - GENERATION_MS - timeline.nowMs
            return PieceWork(
                requestId = id,
                stage = stage,
                piece = piece,
                input = if (spec.after.isEmpty()) PieceInput.Key(id) else PieceInput.Results(listOf(id)),
                group = group,
                arrivedAtMs = timeline.nowMs,
                preferredZone = preferredZone(stage),
                resultBytes = spec.bytes,
                inputsHoldMemory = spec.after.any(::isScarce),
                objectiveAtMs = timeline.nowMs + remainingMs / (1 + laterStages(stage)),
                deadlineAtMs = deadlineAtMs,
                priority = kind.priority,
            )
        }

        private fun preferredZone(stage: Int): ZoneId? {
            val spec = kind.stages[stage]
            val inputs = spec.after.flatMap { resultsByStage[it].orEmpty() }
            val bytes = spec.after.sumOf { kind.stages[it].bytes * pieceCounts[it] }
            return when {
                bytes >= LARGE_RESULT_BYTES -> inputs.firstOrNull()?.worker?.endpoint?.zone
                spec.bytes >= LARGE_RESULT_BYTES -> ZoneId(zone)
                else -> null
            }
        }

        /** True when the memory of a worker holds the results of only a few calls of [stage]. */
        private fun isScarce(stage: Int): Boolean {
            val spec = kind.stages[stage]
            val service = limits.getValue(spec.service)
            return service.resultMemoryBytes < SCARCE_MEMORY_CALLS * service.batch * spec.bytes
        }

        private fun laterStages(stage: Int): Int {
            val successors = kind.stages.indices.filter { stage in kind.stages[it].after }
            return successors.maxOfOrNull { 1 + laterStages(it) } ?: 0
        }

        private fun releaseScarceInputs(stage: Int) = kind.stages[stage].after.filter(::isScarce).forEach(::release)

        private fun release(stage: Int) {
            if (stage in finalStages) return
            resultsByStage.remove(stage)?.let { it.first().owner.free(it) }
        }

        private fun releaseAll() {
            resultsByStage.values.forEach { it.first().owner.free(it) }
            resultsByStage.clear()
        }

        private fun finish() {
            finished = true
            timeline.schedule(kind.firstEventMs) {
                releaseAll()
                if (timeline.nowMs <= objectiveAtMs) outcomeCounts.onTime++ else outcomeCounts.late++
            }
        }
    }

    private companion object {
        const val DRAIN_MS = 20_000L
        const val MS_PER_SECOND = 1_000.0

        /** A longer gap is drawn again after this time, so that a change of the arrival rate takes effect. */
        const val MAX_GAP_MS = 100.0

        /** Mean number of requests that arrive together. */
        const val MEAN_SIMULTANEOUS_ARRIVALS = 3

        /** Time from the end of the stages to the first event, as the simulated instances estimate it. */
        const val GENERATION_MS = 200L
        const val LARGE_RESULT_BYTES = 100_000L
        const val SCARCE_MEMORY_CALLS = 4

        /** Uniform random numbers whose sum approximates a normal distribution with a standard deviation of 1. */
        const val UNIFORM_TERMS = 12

        /** Standard deviation of the logarithm of the number of pieces. */
        const val LOG_SIGMA = 0.5
    }
}
