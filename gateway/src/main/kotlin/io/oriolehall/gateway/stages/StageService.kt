package io.oriolehall.gateway.stages

import io.oriolehall.dispatch.admission.StageLoads
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
 * Sends the pieces of a stage to the owner of the service's queue, which is one instance of the fleet, so that calls
 * are filled from all instances. When the owner cannot be reached, this instance runs the queue itself. Used on the
 * traffic thread only.
 *
 * @param ownerOf the instance that owns the queue of a service now.
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
    private val owned = HashMap<String, StageOwner>()

    /** How long stages take now. */
    internal val loads = StageLoads()

    /** Answers the requests of other instances. */
    fun start(server: PeerServer) {
        server.serve(StageChannels.RUN) { request, emit ->
            val answer = withContext(scope.coroutineContext.minusJob()) {
                if (owns(request.service)) {
                    backlogMs(request.service)?.let { emit(StageAnswer(queued = true, expectedMs = it)) }
                    runHere(request, fallback = false) { emit(StageAnswer(inputsFetched = true)) }
                } else {
                    StageAnswer(failure = StageFailure.NOT_OWNER)
                }
            }
            emit(answer)
        }
        server.answer(StageChannels.RELEASE) { release ->
            withContext(scope.coroutineContext.minusJob()) { releaseHere(release) }
        }
    }

    /**
     * Computes the pieces of [request] at the owner of the queue; when the queue changes its owner, at the new one.
     * [onInputsFetched] is called when the inputs are no longer needed.
     */
    suspend fun run(request: StageRequest, onInputsFetched: () -> Unit): StageAnswer {
        val startMs = TrafficLoop.nowMs()
        val asked = mutableSetOf<InstanceId>()
        repeat(MAX_OWNERS) {
            val owner = ownerOf(request.service)?.takeIf { asked.add(it.id) } ?: return@repeat
            val rest = request.after(TrafficLoop.nowMs() - startMs)
            val answer = if (owner.id == self) runOwned(rest, onInputsFetched) else ask(owner, rest, onInputsFetched)
            if (answer != null) return answer
        }
        val answer = runHere(request.after(TrafficLoop.nowMs() - startMs), fallback = true, onInputsFetched)
        return answer.also { loads.note(request.service, it.expectedMs, TrafficLoop.nowMs()) }
    }

    /** The answer of this instance as the owner; null when another one has become the owner. */
    private suspend fun runOwned(request: StageRequest, onInputsFetched: () -> Unit): StageAnswer? {
        backlogMs(request.service)?.let { loads.note(request.service, it, TrafficLoop.nowMs()) }
        val answer = runHere(request, fallback = false, onInputsFetched)
        loads.note(request.service, answer.expectedMs, TrafficLoop.nowMs())
        return answer.takeIf { it.failure != StageFailure.NOT_OWNER }
    }

    /** The answer of [owner]; null when it cannot be reached or does not own the queue. */
    private suspend fun ask(owner: Member, request: StageRequest, onInputsFetched: () -> Unit): StageAnswer? {
        var answer: StageAnswer? = null
        peers.stream(owner.address, StageChannels.RUN, request, maxOf(1, request.deadlineInMs)) { item ->
            when {
                item.queued -> loads.note(request.service, item.expectedMs, TrafficLoop.nowMs())
                item.inputsFetched -> onInputsFetched()
                else -> answer = item
            }
        }
        val last = answer?.takeIf { it.failure != StageFailure.NOT_OWNER }
        if (last != null) loads.note(request.service, last.expectedMs, TrafficLoop.nowMs())
        return last
    }

    /**
     * Time that a stage request takes where others wait before it; null where none do. Said when a request arrives: its
     * answer comes only after that time, when a jump in traffic has already been let in.
     */
    private fun backlogMs(service: String): Long? =
        owner(service)?.takeIf(StageOwner::backlogged)?.let(StageOwner::expectedMs)

    private fun StageRequest.after(elapsedMs: Long) =
        copy(objectiveInMs = objectiveInMs - elapsedMs, deadlineInMs = deadlineInMs - elapsedMs)

    private fun owns(service: String): Boolean = ownerOf(service)?.let { it.id == self } ?: true

    /** Gives waiting pieces back where another instance owns the queue now. */
    fun handOver() = owned.forEach { (service, owner) -> if (!owns(service)) owner.handOver() }

    /** Frees [results] of [service]; nobody waits for it. */
    fun release(service: String, results: List<StageResult>) {
        if (results.isEmpty()) return
        val release = StageRelease(service, results)
        val owner = ownerOf(service)
        scope.launch {
            if (owner == null || owner.id == self) {
                releaseHere(release)
            } else {
                val told = peers.call(owner.address, StageChannels.RELEASE, release, RELEASE_TIMEOUT_MS)
                if (told.isErr) releaseHere(release)
            }
        }
    }

    private suspend fun runHere(
        request: StageRequest,
        fallback: Boolean,
        onInputsFetched: suspend () -> Unit,
    ): StageAnswer = owner(request.service)?.run(request, fallback, onInputsFetched)
        ?: StageAnswer(failure = StageFailure.NO_WORKER)

    private fun releaseHere(release: StageRelease): StageReleased {
        owner(release.service)?.release(release.results)
        return StageReleased(release.results.size)
    }

    private fun owner(service: String): StageOwner? {
        owned[service]?.let { return it }
        val limits = table()?.service(service)?.pieces ?: return null
        val owner = StageOwner(service, limits, { workers(service) }, client, scope, log, observer)
        owned[service] = owner
        return owner
    }

    private fun kotlin.coroutines.CoroutineContext.minusJob() = minusKey(kotlinx.coroutines.Job)

    private companion object {
        const val RELEASE_TIMEOUT_MS = 500L

        /** Owners that are tried for one stage before this instance runs it whoever owns the queue. */
        const val MAX_OWNERS = 2
    }
}
