package io.oriolehall.gateway.fleet

import io.ktor.network.selector.SelectorManager
import io.oriolehall.dispatch.config.CallerLimits
import io.oriolehall.dispatch.config.ServingConfig
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.store.StorePosition
import io.oriolehall.gateway.feed.EndpointListing
import io.oriolehall.gateway.feed.FeedChanges
import io.oriolehall.gateway.feed.FeedSnapshot
import io.oriolehall.gateway.feed.OperatorState
import io.oriolehall.gateway.feed.PublishedChange
import io.oriolehall.gateway.feed.PublishedState
import io.oriolehall.gateway.feed.ReadingPace
import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import io.oriolehall.peer.PeerClient
import io.oriolehall.peer.PeerServer
import io.oriolehall.policy.membership.Member
import io.oriolehall.policy.membership.MemberState
import io.oriolehall.runtime.CoroutineTimerService
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Runs a reader and a follower on the loopback interface; the tests apply the platform's changes to the reader. */
class StateFollowerTest {
    private val log = EventLog { _, _ -> }

    @OptIn(ExperimentalCoroutinesApi::class)
    private val control = Dispatchers.Default.limitedParallelism(1)
    private val scope = CoroutineScope(control + SupervisorJob())
    private val timers = CoroutineTimerService(scope, log)
    private val selector = SelectorManager(Dispatchers.IO)
    private val client = PeerClient(selector, scope)
    private val server = PeerServer(selector, scope, log)
    private val readerState = PublishedState(timers, log)
    private val state = PublishedState(timers, log)
    private val readerIncarnation = Incarnation(1, 1)
    private var confirmedAgoMs = 0L
    private val pace = ReadingPace.within(configApplyMs = 2_000, keyRevocationMs = null)
    private val reader = StateFollower(readerIncarnation, readerState, client, timers, log, pace) { confirmedAgoMs }
    private val follower = StateFollower(Incarnation(2, 2), state, client, timers, log, pace) { 0 }
    private val config = ServingConfig(1, emptyList(), emptyList(), CallerLimits(), emptyList())

    @AfterEach
    fun end() {
        server.close()
        scope.cancel()
        selector.close()
    }

    private fun record(id: String, draining: Boolean = false) =
        EndpointRecord(
            EndpointId(id),
            1,
            "s",
            NetworkAddress("127.0.0.1", 1),
            ZoneId("z"),
            1,
            draining,
            coldRemainingMs = 0,
        )

    private fun withReader(test: suspend (Member) -> Unit) = runBlocking {
        server.serve(FleetChannels.FOLLOW) { query, emit ->
            withContext(control) { reader.answer(query) }?.let { emit(it) }
        }
        val address = server.start(NetworkAddress("127.0.0.1", 0))
        withContext(control) {
            val snapshot = FeedSnapshot(10, 7, config, listOf(record("a"), record("b")), listOf(ZoneId("y")))
            readerState.recordPlatformAnswer()
            readerState.replace(snapshot, readerState.now(), storeUninterrupted = true, source = "test")
            test(Member(InstanceId("r"), ZoneId("z"), address, readerIncarnation, MemberState.ALIVE, 0))
        }
    }

    private fun publish(revision: Long, vararg changes: PublishedChange) {
        readerState.recordPlatformAnswer()
        readerState.apply(FeedChanges(StorePosition(0, revision), changes.toList()), readerState.now())
    }

    @Test
    fun `a follower takes everything first and then each change as it comes`() = withReader { member ->
        expectThat(follower.follow(member)).isTrue()
        expectThat(state.endpoints) isEqualTo readerState.endpoints
        expectThat(state.configHolder.current?.revision) isEqualTo 7
        val waiting = scope.async { follower.follow(member) }
        yield()
        publish(
            12,
            PublishedChange.EndpointRegistered(record("a", draining = true)),
            PublishedChange.EndpointWithdrawn(EndpointId("b")),
            PublishedChange.ZoneRestored(ZoneId("y")),
            PublishedChange.ConfigPublished(12, config.copy(version = 3)),
        )
        expectThat(waiting.await()).isTrue()
        expectThat(state.endpoints) isEqualTo readerState.endpoints
        expectThat(state.endpoints.usable("s")).isEmpty()
        expectThat(state.endpoints.evacuated).isEmpty()
        expectThat(state.configHolder.current?.table?.config?.version) isEqualTo 3
        expectThat(state.asOf) isEqualTo StorePosition(0, 12)
    }

    @Test
    fun `a follower that fell out of the kept changes takes everything`() = withReader { member ->
        follower.follow(member)
        repeat(3_000) { publish(11L + it, PublishedChange.EndpointRegistered(record("n$it"))) }
        readerState.recordPlatformAnswer()
        expectThat(follower.follow(member)).isTrue()
        expectThat(state.endpoints) isEqualTo readerState.endpoints
    }

    @Test
    fun `a confirmation is not made younger on its way`() = withReader { member ->
        confirmedAgoMs = 1_200
        val beforeMs = state.now().ms
        follower.follow(member)
        val confirmed = checkNotNull(state.configHolder.current).confirmedAt.ms
        expectThat(confirmed).isLessThanOrEqualTo(state.now().ms - 1_200)
        expectThat(confirmed).isGreaterThanOrEqualTo(beforeMs - 1_200)
    }

    @Test
    fun `a reader that suspends keys is not followed`() = withReader { member ->
        confirmedAgoMs = -1
        expectThat(follower.follow(member)).isFalse()
    }

    /**
     * A reader may be cut off from the platform while its followers are not. They must stop following it early enough
     * to have a new configuration in force within 2 s, the shortest time that is required.
     */
    @Test
    fun `a reader that the platform does not answer any more is left in time`() = withReader { member ->
        expectThat(follower.follow(member)).isTrue()
        val lastAnswerAtMs = timers.nowMs()
        while (follower.follow(member)) check(timers.nowMs() - lastAnswerAtMs < 10_000) { "still followed after 10 s" }
        expectThat(timers.nowMs() - lastAnswerAtMs).isLessThanOrEqualTo(1_800)
    }

    @Test
    fun `nothing goes back where the follower knows more than its reader`() = withReader { member ->
        follower.follow(member)
        state.apply(
            FeedChanges(StorePosition(0, 20), listOf(PublishedChange.EndpointRegistered(record("a", draining = true)))),
            state.now(),
        )
        publish(15, PublishedChange.EndpointRegistered(record("c")))
        expectThat(follower.follow(member)).isFalse()
        expectThat(state.endpoints.endpoints[EndpointId("a")]?.draining) isEqualTo true
        expectThat(state.asOf) isEqualTo StorePosition(0, 20)
    }

    @Test
    fun `a reader that knows only an earlier era of the store is not followed`() = withReader { member ->
        expectThat(follower.follow(member)).isTrue()
        state.learnEra(1, "test")
        publish(99, PublishedChange.EndpointRegistered(record("c")))
        expectThat(follower.follow(member)).isFalse()
        expectThat(state.endpoints.endpoints[EndpointId("c")]).isNull()
    }

    /** Guards against a follower that loses what it knows when its reader has read the copy and did not know it. */
    @Test
    fun `a follower takes over the new era and keeps what only it had learnt`() = withReader { member ->
        follower.follow(member)
        state.apply(
            FeedChanges(
                StorePosition(0, 20),
                listOf(
                    PublishedChange.EndpointRegistered(record("a", draining = true)),
                    PublishedChange.ConfigPublished(20, config.copy(version = 3)),
                ),
            ),
            state.now(),
        )
        readerState.learnEra(1, "test")
        readerState.recordPlatformAnswer()
        val operator = OperatorState(
            StorePosition(1, 12),
            PublishedChange.ConfigPublished(7, config, era = 1),
            listOf(ZoneId("y")),
        )
        readerState.applyOperator(operator, readerState.now())
        val listing = EndpointListing(StorePosition(1, 12), listOf(record("a"), record("b")))
        readerState.replaceEndpoints(listing, operator, storeUninterrupted = false)
        expectThat(follower.follow(member)).isTrue()
        expectThat(state.asOf) isEqualTo StorePosition(1, 12)
        expectThat(state.endpoints.endpoints[EndpointId("a")]?.draining) isEqualTo true
        expectThat(state.configHolder.current?.stamp?.version) isEqualTo 3
    }

    @Test
    fun `a reader that is gone is not followed`() = withReader { member ->
        follower.follow(member)
        val gone = member.copy(address = NetworkAddress("127.0.0.1", 1))
        expectThat(follower.follow(gone)).isFalse()
    }
}
