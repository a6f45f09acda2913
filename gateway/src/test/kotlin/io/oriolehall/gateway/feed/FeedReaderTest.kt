package io.oriolehall.gateway.feed

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.oriolehall.dispatch.config.CallerLimits
import io.oriolehall.dispatch.config.ServingConfig
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.store.StorePosition
import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import io.oriolehall.runtime.CoroutineTimerService
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import java.util.concurrent.CopyOnWriteArrayList

class FeedReaderTest {
    private val log = EventLog { _, _ -> }

    @OptIn(ExperimentalCoroutinesApi::class)
    private val scope = CoroutineScope(Dispatchers.Default.limitedParallelism(1) + SupervisorJob())
    private val timers = CoroutineTimerService(scope, log)
    private val state = PublishedState(timers, log)
    private val pace = ReadingPace(confirmationMs = 20, maxWaitMs = 20, minIntervalMs = 40, maxSilenceMs = 200)

    @AfterEach
    fun end() = scope.cancel()

    private fun endpoint(id: String) =
        EndpointRecord(EndpointId(id), 1, "s", NetworkAddress("10.0.0.1", 1), ZoneId("z"), 1, false, 0)

    private fun at(revision: Long) = StorePosition(era = 0, revision)

    private fun operatorState(version: Long = 1) = OperatorState(
        asOf = at(version),
        config = PublishedChange.ConfigPublished(
            version,
            ServingConfig(version, emptyList(), emptyList(), CallerLimits(), emptyList()),
        ),
        evacuated = emptyList(),
    )

    private fun listing() = EndpointListing(at(1), listOf(endpoint("e1"), endpoint("e2")))

    /** Runs a reader on a platform whose watches are answered by [watch], which is given the number of the watch. */
    private fun read(watch: suspend (Int) -> Result<FeedChanges, FeedFailure>) {
        var watches = 0
        val feed = object : PlatformFeed {
            override suspend fun operatorState() = Ok(this@FeedReaderTest.operatorState())

            override suspend fun endpoints(betweenPages: suspend () -> Unit) = Ok(listing())

            override suspend fun changes(after: StorePosition, waitMs: Long) = watch(++watches)
        }
        scope.launch { FeedReader(feed, state, { false }, { 20 }, pace, timers, log).run() }
    }

    @Test
    fun `an unexpected error does not end the reading`() = runBlocking<Unit> {
        val readAgain = CompletableDeferred<Unit>()
        read { number ->
            check(number > 1) { "fault" }
            readAgain.complete(Unit)
            awaitCancellation()
        }
        withTimeout(5_000) { readAgain.await() }
    }

    /** Guards against a watch whose answer never fits: no change was taken until the store dropped its history. */
    @Test
    fun `changes that do not fit into an answer are replaced by a snapshot`() = runBlocking<Unit> {
        val watchedAgain = CompletableDeferred<Unit>()
        read { number ->
            if (number > 1) {
                watchedAgain.complete(Unit)
                awaitCancellation()
            }
            state.apply(FeedChanges(at(1), listOf(PublishedChange.EndpointWithdrawn(EndpointId("e1")))), state.now())
            Err(FeedFailure.TooLong("answer is longer than 10 bytes"))
        }
        withTimeout(5_000) { watchedAgain.await() }
        expectThat(state.endpoints.usable("s").map { it.id.value }).containsExactlyInAnyOrder("e1", "e2")
    }

    @Test
    fun `an entry that another writer replaced names no endpoint, and the others hold`() = runBlocking<Unit> {
        val applied = CompletableDeferred<Unit>()
        read { number ->
            if (number > 1) {
                applied.complete(Unit)
                awaitCancellation()
            }
            Ok(FeedChanges(at(2), listOf(PublishedChange.Unreadable("entry of e1", "not JSON", EndpointId("e1")))))
        }
        withTimeout(5_000) { applied.await() }
        expectThat(state.endpoints.usable("s").map { it.id.value }).containsExactly("e2")
    }

    /** Guards against review case 3: a listing that makes no progress was read without a pause. */
    @Test
    fun `a listing that cannot be used is read again later`() = runBlocking<Unit> {
        val events = CopyOnWriteArrayList<Event>()
        val readAgain = CompletableDeferred<Long>()
        val startMs = timers.nowMs()
        var listings = 0
        val feed = object : PlatformFeed {
            override suspend fun operatorState() = Ok(this@FeedReaderTest.operatorState())

            override suspend fun endpoints(betweenPages: suspend () -> Unit): Result<EndpointListing, FeedFailure> {
                if (++listings == 1) return Err(FeedFailure.UnusableListing("a page is repeated"))
                readAgain.complete(timers.nowMs() - startMs)
                return Ok(listing())
            }

            override suspend fun changes(after: StorePosition, waitMs: Long) = awaitCancellation()
        }
        val reader = FeedReader(feed, state, { false }, { 20 }, pace, timers, { event, _ -> events += event })
        scope.launch { reader.run() }
        expectThat(withTimeout(5_000) { readAgain.await() }).isGreaterThanOrEqualTo(1_900)
        expectThat(events.count { it == Event.FEED_LISTING_UNUSABLE }).isEqualTo(1)
    }

    @Test
    fun `changes that arrive all the time are read together`() = runBlocking<Unit> {
        val done = CompletableDeferred<Long>()
        val startMs = timers.nowMs()
        read { number ->
            if (number == 6) {
                done.complete(timers.nowMs() - startMs)
                awaitCancellation()
            }
            Ok(FeedChanges(at(number + 1L), listOf(PublishedChange.EndpointRegistered(endpoint("e$number")))))
        }
        expectThat(withTimeout(5_000) { done.await() }).isGreaterThanOrEqualTo(5 * pace.minIntervalMs)
        expectThat(state.endpoints.usable("s").size).isEqualTo(5)
    }
}
