package io.oriolehall.gateway.stages

import io.oriolehall.dispatch.admission.StageTimeEstimates
import io.oriolehall.dispatch.config.RouteTable
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.stages.SilentOwners
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.policy.membership.Member
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

/**
 * Sends the pieces of a stage to the owner of the service's stage queue. A single instance of the fleet owns the queue,
 * so that calls to workers batch the pieces of all instances. If the owner does not acknowledge a request, the deputy
 * of this zone runs it, and if that one does not answer either, this instance. Used on the traffic thread only.
 *
 * @param ownersOf returns the current owner of a service's stage queue, followed by the deputy of this zone.
 * @param isReachable false once an instance has been declared dead or has stopped.
 * @param unreachableZones zones whose workers are used only if there are no others.
 */
class StageService internal constructor(
    private val self: InstanceId,
    private val ownersOf: (String) -> List<Member>,
    private val isReachable: (InstanceId) -> Boolean,
    private val unreachableZones: () -> Set<ZoneId>,
    private val peers: PeerClient,
    private val table: () -> RouteTable?,
    private val workers: (String) -> List<EndpointRecord>,
    private val client: StageWorkerClient,
    private val scope: CoroutineScope,
    private val log: EventLog,
    private val observer: StageCallObserver,
) : StageRunner {
    private val stageOwners = HashMap<String, StageOwner>()
    private val silentOwners = SilentOwners()

    /** Exchanges with owners that have not ended, and the owner of each. */
    private val exchanges = HashMap<Job, InstanceId>()

    override val timeEstimates = StageTimeEstimates()

    /** Registers the handlers for requests of other instances. */
    fun start(server: PeerServer) {
        server.serve(StageChannels.RUN) { request, emit ->
            val answer = withContext(scope.coroutineContext.withoutJob()) {
                if (request.ownerSilent || ownsQueue(request.service)) {
                    emit(StageAnswer(queued = true, expectedMs = backlogMs(request.service) ?: 0))
                    runLocally(request, fallback = request.ownerSilent) { emit(StageAnswer(inputsFetched = true)) }
                } else {
                    StageAnswer(failure = StageFailure.NOT_OWNER)
                }
            }
            emit(answer)
        }
        server.answer(StageChannels.RELEASE) { release ->
            withContext(scope.coroutineContext.withoutJob()) { releaseLocally(release) }
        }
    }

    /** Computes the pieces of [request] at the owner of the queue, or at the new owner if the queue moves meanwhile. */
    override suspend fun run(request: StageRequest, onInputsFetched: () -> Unit): StageAnswer {
        val startMs = TrafficLoop.nowMs()
        val triedOwners = mutableSetOf<InstanceId>()
        repeat(MAX_OWNER_ATTEMPTS) {
            val owner = nextOwner(request.service, triedOwners) ?: return@repeat
            triedOwners += owner.id
            val updated = request.withElapsed(TrafficLoop.nowMs() - startMs)
            val answer =
                if (owner.id == self) runAsOwner(updated, onInputsFetched) else sendTo(owner, updated, onInputsFetched)
            if (answer != null) return answer
        }
        val answer = runLocally(request.withElapsed(TrafficLoop.nowMs() - startMs), fallback = true, onInputsFetched)
        return answer.also { timeEstimates.record(request.service, it.expectedMs, TrafficLoop.nowMs()) }
    }

    /** The owner or deputy to ask next; null if this instance has to run the pieces as a fallback. */
    private fun nextOwner(service: String, tried: Set<InstanceId>): Member? {
        val nowMs = TrafficLoop.nowMs()
        val next = ownersOf(service).firstOrNull {
            it.id !in tried &&
                (it.id == self || silentOwners.mayAsk(it.id, nowMs))
        }
        return next?.takeIf { it.id != self || ownsQueue(service) }
    }

    /** The owner of the queue of [service] and its deputy in the order in which they are asked, and whether each is. */
    internal fun queueOwners(service: String): List<StageQueueOwner> {
        val nowMs = TrafficLoop.nowMs()
        return ownersOf(service).map { StageQueueOwner(it.id, it.zone, silentOwners.isSilent(it.id, nowMs)) }
    }

    /** Runs [request] as the owner of the queue. Returns null if another instance has become the owner. */
    private suspend fun runAsOwner(request: StageRequest, onInputsFetched: () -> Unit): StageAnswer? {
        backlogMs(request.service)?.let { timeEstimates.record(request.service, it, TrafficLoop.nowMs()) }
        val answer = runLocally(request, fallback = false, onInputsFetched)
        timeEstimates.record(request.service, answer.expectedMs, TrafficLoop.nowMs())
        return answer.takeIf { it.failure != StageFailure.NOT_OWNER }
    }

    /** Sends [request] to [owner]. Returns null if it does not answer or does not own the queue. */
    private suspend fun sendTo(owner: Member, request: StageRequest, onInputsFetched: () -> Unit): StageAnswer? {
        val isDeputy = ownersOf(request.service).firstOrNull()?.id != owner.id
        val sentAtMs = TrafficLoop.nowMs()
        var answer: StageAnswer? = null
        var acknowledged = false
        coroutineScope {
            val exchange = launch {
                peers.stream(
                    owner.address,
                    StageChannels.RUN,
                    request.copy(ownerSilent = isDeputy),
                    idleTimeoutMs = maxOf(1, request.deadlineInMs),
                    firstItemTimeoutMs = ACKNOWLEDGEMENT_TIMEOUT_MS,
                ) { item ->
                    acknowledged = true
                    when {
                        item.queued -> timeEstimates.record(request.service, item.expectedMs, TrafficLoop.nowMs())
                        item.inputsFetched -> onInputsFetched()
                        else -> answer = item
                    }
                }
            }
            exchanges[exchange] = owner.id
            exchange.invokeOnCompletion { exchanges.remove(exchange) }
        }
        if (acknowledged) silentOwners.onAnswer(owner.id) else silentOwners.onSilence(owner.id, TrafficLoop.nowMs())
        val finalAnswer = answer?.takeIf { it.failure != StageFailure.NOT_OWNER }
        if (finalAnswer != null) recordTime(request.service, finalAnswer, TrafficLoop.nowMs() - sentAtMs)
        return finalAnswer
    }

    /**
     * Records the time that the owner expects. If the request took much longer, the owner or this instance is short of
     * processor time, which the owner cannot see; then its time is what the next request has to expect.
     */
    private fun recordTime(service: String, answer: StageAnswer, elapsedMs: Long) {
        val unexplained = answer.failure == null && elapsedMs > answer.expectedMs * UNEXPLAINED_FACTOR + UNEXPLAINED_MS
        timeEstimates.record(service, if (unexplained) elapsedMs else answer.expectedMs, TrafficLoop.nowMs())
    }

    /**
     * Estimated duration of a stage request in milliseconds if pieces are queued ahead of it, otherwise null. It is
     * reported when a request arrives, because the final answer comes too late for admission control: by then, a surge
     * in traffic has already been admitted.
     */
    private fun backlogMs(service: String): Long? =
        stageOwner(service)?.takeIf(StageOwner::backlogged)?.let(StageOwner::expectedMs)

    private fun StageRequest.withElapsed(elapsedMs: Long) =
        copy(objectiveInMs = objectiveInMs - elapsedMs, deadlineInMs = deadlineInMs - elapsedMs)

    private fun ownsQueue(service: String): Boolean = ownersOf(service).firstOrNull()?.let { it.id == self } ?: true

    /**
     * Returns unstarted pieces to the requesting instances for queues that another instance owns now, and ends the
     * exchanges with owners that can no longer be reached, so that their requests go to the new owners.
     */
    fun onOwnersChanged() {
        stageOwners.forEach { (service, owner) -> if (!ownsQueue(service)) owner.handOver() }
        exchanges.filterValues { !isReachable(it) }.keys.toList().forEach(Job::cancel)
    }

    override fun release(service: String, results: List<StageResult>) {
        if (results.isEmpty()) return
        val release = StageRelease(service, results)
        val owner = ownersOf(service).firstOrNull()
        scope.launch {
            if (owner == null || owner.id == self) {
                releaseLocally(release)
            } else {
                val response = peers.call(owner.address, StageChannels.RELEASE, release, RELEASE_TIMEOUT_MS)
                if (response.isErr) releaseLocally(release)
            }
        }
    }

    private suspend fun runLocally(
        request: StageRequest,
        fallback: Boolean,
        onInputsFetched: suspend () -> Unit,
    ): StageAnswer = stageOwner(request.service)?.run(request, fallback, onInputsFetched)
        ?: StageAnswer(failure = StageFailure.NO_WORKER)

    private fun releaseLocally(release: StageRelease): StageReleased {
        stageOwner(release.service)?.release(release.results)
        return StageReleased(release.results.size)
    }

    private fun stageOwner(service: String): StageOwner? {
        stageOwners[service]?.let { return it }
        val limits = table()?.service(service)?.pieces ?: return null
        val owner = StageOwner(service, limits, { workers(service) }, unreachableZones, client, scope, log, observer)
        stageOwners[service] = owner
        return owner
    }

    private fun kotlin.coroutines.CoroutineContext.withoutJob() = minusKey(Job)

    private companion object {
        const val RELEASE_TIMEOUT_MS = 500L

        /** Owners and deputies that are tried for one stage before this instance runs it without owning the queue. */
        const val MAX_OWNER_ATTEMPTS = 3

        /** An owner acknowledges a request before it computes anything. */
        const val ACKNOWLEDGEMENT_TIMEOUT_MS = 400L

        /** A request that took longer than this many times the expected time, and this much more, was held up. */
        const val UNEXPLAINED_FACTOR = 2
        const val UNEXPLAINED_MS = 300L
    }
}
