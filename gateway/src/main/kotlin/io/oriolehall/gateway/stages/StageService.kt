package io.oriolehall.gateway.stages

import io.oriolehall.dispatch.admission.StageTimeEstimates
import io.oriolehall.dispatch.config.RouteTable
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.model.InstanceId
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.policy.membership.Member
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

/**
 * Sends the pieces of a stage to the owner of the service's stage queue. A single instance of the fleet owns the queue,
 * so that calls to workers batch the pieces of all instances. If the owner cannot be reached, this instance runs the
 * pieces itself. Used on the traffic thread only.
 *
 * @param ownerOf returns the current owner of a service's stage queue.
 */
class StageService internal constructor(
    private val self: InstanceId,
    private val ownerOf: (String) -> Member?,
    private val peers: PeerClient,
    private val table: () -> RouteTable?,
    private val workers: (String) -> List<EndpointRecord>,
    private val client: StageWorkerClient,
    private val scope: CoroutineScope,
    private val log: EventLog,
    private val observer: StageCallObserver,
) {
    private val stageOwners = HashMap<String, StageOwner>()

    /** Current estimates of stage durations. */
    internal val timeEstimates = StageTimeEstimates()

    /** Registers the handlers for requests of other instances. */
    fun start(server: PeerServer) {
        server.serve(StageChannels.RUN) { request, emit ->
            val answer = withContext(scope.coroutineContext.withoutJob()) {
                if (ownsQueue(request.service)) {
                    backlogMs(request.service)?.let { emit(StageAnswer(queued = true, expectedMs = it)) }
                    runLocally(request, fallback = false) { emit(StageAnswer(inputsFetched = true)) }
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

    /**
     * Computes the pieces of [request] at the owner of the queue, or at the new owner if the queue moves meanwhile.
     * [onInputsFetched] is called when the inputs are no longer needed.
     */
    suspend fun run(request: StageRequest, onInputsFetched: () -> Unit): StageAnswer {
        val startMs = TrafficLoop.nowMs()
        val triedOwners = mutableSetOf<InstanceId>()
        repeat(MAX_OWNER_ATTEMPTS) {
            val owner = ownerOf(request.service)?.takeIf { triedOwners.add(it.id) } ?: return@repeat
            val updated = request.withElapsed(TrafficLoop.nowMs() - startMs)
            val answer =
                if (owner.id == self) runAsOwner(updated, onInputsFetched) else sendTo(owner, updated, onInputsFetched)
            if (answer != null) return answer
        }
        val answer = runLocally(request.withElapsed(TrafficLoop.nowMs() - startMs), fallback = true, onInputsFetched)
        return answer.also { timeEstimates.record(request.service, it.expectedMs, TrafficLoop.nowMs()) }
    }

    /** Runs [request] as the owner of the queue. Returns null if another instance has become the owner. */
    private suspend fun runAsOwner(request: StageRequest, onInputsFetched: () -> Unit): StageAnswer? {
        backlogMs(request.service)?.let { timeEstimates.record(request.service, it, TrafficLoop.nowMs()) }
        val answer = runLocally(request, fallback = false, onInputsFetched)
        timeEstimates.record(request.service, answer.expectedMs, TrafficLoop.nowMs())
        return answer.takeIf { it.failure != StageFailure.NOT_OWNER }
    }

    /** Sends [request] to [owner]. Returns null if it cannot be reached or does not own the queue. */
    private suspend fun sendTo(owner: Member, request: StageRequest, onInputsFetched: () -> Unit): StageAnswer? {
        var answer: StageAnswer? = null
        peers.stream(owner.address, StageChannels.RUN, request, maxOf(1, request.deadlineInMs)) { item ->
            when {
                item.queued -> timeEstimates.record(request.service, item.expectedMs, TrafficLoop.nowMs())
                item.inputsFetched -> onInputsFetched()
                else -> answer = item
            }
        }
        val finalAnswer = answer?.takeIf { it.failure != StageFailure.NOT_OWNER }
        if (finalAnswer != null) timeEstimates.record(request.service, finalAnswer.expectedMs, TrafficLoop.nowMs())
        return finalAnswer
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

    private fun ownsQueue(service: String): Boolean = ownerOf(service)?.let { it.id == self } ?: true

    /** Returns unstarted pieces to the requesting instances for queues that another instance owns now. */
    fun handOver() = stageOwners.forEach { (service, owner) -> if (!ownsQueue(service)) owner.handOver() }

    /** Frees [results] of [service] in the background. */
    fun release(service: String, results: List<StageResult>) {
        if (results.isEmpty()) return
        val release = StageRelease(service, results)
        val owner = ownerOf(service)
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
        val owner = StageOwner(service, limits, { workers(service) }, client, scope, log, observer)
        stageOwners[service] = owner
        return owner
    }

    private fun kotlin.coroutines.CoroutineContext.withoutJob() = minusKey(kotlinx.coroutines.Job)

    private companion object {
        const val RELEASE_TIMEOUT_MS = 500L

        /** Owners that are tried for one stage before this instance runs it without owning the queue. */
        const val MAX_OWNER_ATTEMPTS = 2
    }
}
