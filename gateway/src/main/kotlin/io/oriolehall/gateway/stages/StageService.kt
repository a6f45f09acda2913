package io.oriolehall.gateway.stages

import io.oriolehall.dispatch.config.RouteTable
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.gateway.TrafficLoop
import io.oriolehall.gateway.fleet.FleetService
import io.oriolehall.model.InstanceId
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.policy.hashing.Rendezvous
import io.oriolehall.policy.membership.Member
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

/**
 * Sends the pieces of a stage to the owner of the service's queue, which is one instance of the fleet by rendezvous
 * hashing, so that calls are filled from all instances. When the owner cannot be reached, this instance runs the queue
 * itself. Used on the traffic thread only.
 */
class StageService internal constructor(
    private val self: InstanceId,
    private val fleet: FleetService,
    private val peers: PeerClient,
    private val table: () -> RouteTable?,
    private val workers: (String) -> List<EndpointRecord>,
    private val client: StageWorkerClient,
    private val scope: CoroutineScope,
    private val log: EventLog,
) {
    private val owned = HashMap<String, StageOwner>()

    /** How long stages take now. */
    internal val loads = StageLoads()

    /** Answers the requests of other instances. */
    fun start(server: PeerServer) {
        server.answer(StageChannels.RUN) { request ->
            withContext(scope.coroutineContext.minusJob()) { runHere(request) }
        }
        server.answer(StageChannels.RELEASE) { release ->
            withContext(scope.coroutineContext.minusJob()) { releaseHere(release) }
        }
    }

    /** Computes the pieces of [request] at the owner of the queue. */
    suspend fun run(request: StageRequest): StageAnswer =
        runAtOwner(request).also { loads.note(request.service, it.expectedMs) }

    private suspend fun runAtOwner(request: StageRequest): StageAnswer {
        val owner = ownerOf(request.service)
        if (owner == null || owner.id == self) return runHere(request)
        val startMs = TrafficLoop.nowMs()
        val answer = peers.call(owner.address, StageChannels.RUN, request, request.deadlineInMs)
        if (answer.isOk && answer.value.failure != StageFailure.NOT_OWNER) return answer.value
        val elapsedMs = TrafficLoop.nowMs() - startMs
        return runHere(
            request.copy(
                objectiveInMs = request.objectiveInMs - elapsedMs,
                deadlineInMs = request.deadlineInMs - elapsedMs,
            ),
        )
    }

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

    private fun ownerOf(service: String): Member? {
        val members = fleet.view.members.values.filter { it.ownable }.associateBy(Member::id)
        return Rendezvous.ranked("stage queue $service", members.keys).firstOrNull()?.let(members::get)
    }

    private suspend fun runHere(request: StageRequest): StageAnswer =
        owner(request.service)?.run(request) ?: StageAnswer(failure = StageFailure.NO_WORKER)

    private fun releaseHere(release: StageRelease): StageReleased {
        owner(release.service)?.release(release.results)
        return StageReleased(release.results.size)
    }

    private fun owner(service: String): StageOwner? {
        owned[service]?.let { return it }
        val limits = table()?.service(service)?.pieces ?: return null
        return StageOwner(service, limits, { workers(service) }, client, scope, log).also { owned[service] = it }
    }

    private fun kotlin.coroutines.CoroutineContext.minusJob() = minusKey(kotlinx.coroutines.Job)

    private companion object {
        const val RELEASE_TIMEOUT_MS = 500L
    }
}
