package io.oriolehall.entry.stages

import com.github.michaelbull.result.Result
import io.oriolehall.entry.limits.ConcurrencyLimits
import io.oriolehall.entry.requests.InboundRequest
import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.Organisation
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.Pipeline
import io.oriolehall.model.PipelineId
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.PoolId
import io.oriolehall.model.RequestId
import io.oriolehall.model.Stage
import io.oriolehall.model.StageKind
import io.oriolehall.model.ZoneId
import io.oriolehall.policy.admission.AdmitAll
import io.oriolehall.policy.config.ConfigSnapshot
import io.oriolehall.policy.config.VersionedObject
import io.oriolehall.policy.limits.CallResult
import io.oriolehall.policy.routing.LeastOutstandingPolicy
import io.oriolehall.runtime.Subscription
import io.oriolehall.runtime.TimerService
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class EndpointSlotsTest {
    private class Clock : TimerService {
        var now = 0L

        override fun nowMs() = now

        override fun wallClockMs() = now

        override fun every(name: String, periodMs: Long, jitter: Double, action: suspend () -> Unit) = Subscription {}

        override fun after(name: String, delayMs: Long, action: suspend () -> Unit) = Subscription {}
    }

    private class Room(var free: Int) : ConcurrencyLimits {
        var onRoom: () -> Unit = {}

        override fun room(endpoint: Endpoint) = free

        override fun tryStart(endpoint: Endpoint) = (free > 0).also { if (it) free-- }

        override fun finish(endpoint: Endpoint, result: CallResult, firstOutputMs: Double) {
            free++
        }

        override fun start(onRoom: () -> Unit) {
            this.onRoom = onRoom
        }
    }

    private val clock = Clock()
    private val room = Room(free = 1)
    private val zone = ZoneId("z")
    private val endpoint = Endpoint(EndpointId("e"), zone, PoolId("p"), NetworkAddress("127.0.0.1", 1))
    private val stage = Stage("s", StageKind.GENERATE, PoolId("p"), expectedMs = 1_000)
    private val slots = EndpointSlots(
        zone = zone,
        config = { ConfigSnapshot(persistentMapOf(endpoint.key to VersionedObject(1, endpoint))) },
        policy = LeastOutstandingPolicy(),
        limits = room,
        admission = AdmitAll,
        scope = CoroutineScope(Dispatchers.Unconfined),
        timers = clock,
    ).apply { start() }

    private fun context(deadlineMs: Long) = StageContext(
        InboundRequest(
            organisation = Organisation(OrganisationId("o"), emptyList()),
            pipeline = Pipeline(PipelineId("p"), listOf(stage)),
            body = PipelineRequest("x"),
            arrivedMs = clock.now,
            deadlineMs = deadlineMs,
        ),
        RequestId("r"),
    )

    private fun CoroutineScope.ask(deadlineMs: Long): Deferred<Result<EndpointSlot, SlotRefusal>> =
        async(Dispatchers.Unconfined, CoroutineStart.UNDISPATCHED) {
            slots.acquire(stage, "x", context(deadlineMs), emptySet())
        }

    private suspend fun CoroutineScope.run(tookMs: Long) {
        val slot = ask(clock.now + 10_000).await().value
        clock.now += tookMs
        slots.finish(slot, stage, CallResult.COMPLETED, firstOutputMs = 1.0)
    }

    @Test
    fun `a slot is given back when its request is cancelled before the call is decided on`() {
        runBlocking {
            val slot = ask(deadlineMs = 10_000).await().value
            val deciding = launch(start = CoroutineStart.UNDISPATCHED) {
                slots.keepIf(slot, stage) { awaitCancellation() }
            }
            expectThat(room.free).isEqualTo(0)
            deciding.cancelAndJoin()
            expectThat(room.free).isEqualTo(1)
        }
    }

    @Test
    fun `a call leaves the queue while there is no time left for most runs, though there is for the mean`() {
        runBlocking {
            repeat(50) { run(tookMs = if (it % 2 == 0) 500 else 1_500) }
            room.free = 0
            val deadlineMs = clock.now + 4_000
            val call = ask(deadlineMs)
            clock.now = deadlineMs - 2_000
            room.onRoom()
            expectThat(call.isCompleted).isFalse()
            clock.now = deadlineMs - 1_200
            room.onRoom()
            expectThat(call.isCompleted).isTrue()
            expectThat(call.await().error).isA<SlotRefusal.TooLate>()
        }
    }

    @Test
    fun `an endpoint that refused a connection gets no call before its owner can have learnt of it`() {
        runBlocking {
            val refused = ask(clock.now + 4_000).await().value
            slots.onUnreachable(refused.endpoint)
            slots.finish(refused, stage, CallResult.FAILED, firstOutputMs = 0.0)
            val next = ask(clock.now + 4_000)
            expectThat(next.isCompleted).isFalse()
            clock.now += 500
            room.onRoom()
            expectThat(next.isCompleted).isTrue()
            expectThat(next.await().isOk).isTrue()
        }
    }
}
