package io.oriolehall.proofs.load

import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.awaitThat
import io.oriolehall.harness.fleet.withFleet
import io.oriolehall.standins.endpoint.Behaviour
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.util.concurrent.atomic.AtomicInteger

class EndpointLimitProofTest {
    @Test
    fun `eight instances never overload one cold endpoint that bears two calls`() =
        withFleet("limit-leases", { oneEndpoint(coldMs = 120_000, limits = "leases") }) { fleet ->
            val served = loadFully(fleet)
            val stats = fleet.endpoint("enc").stats()
            expectThat(stats.overloads).describedAs("overloads").isEqualTo(0)
            expectThat(stats.maxConcurrency).describedAs("calls at once").isEqualTo(2)
            expectThat(served).describedAs("answers").isGreaterThan(40)
        }

    @Test
    fun `an equal split among eight instances overloads it`() =
        withFleet("limit-equal-split", { oneEndpoint(coldMs = 120_000, limits = "equal-split") }) { fleet ->
            loadFully(fleet)
            expectThat(fleet.endpoint("enc").stats().overloads).describedAs("overloads").isGreaterThan(0)
        }

    @Test
    fun `a warm endpoint that turns cold unannounced is spared after two seconds`() =
        withFleet("limit-unannounced", { oneEndpoint(coldMs = 3_000, limits = "leases") }) { fleet ->
            val endpoint = fleet.endpoint("enc")
            coroutineScope {
                val load = launch { loadFully(fleet, LONG_LOAD_MS) }
                awaitThat("the endpoint is in full use") { endpoint.stats().maxConcurrency >= WARM_LIMIT }
                endpoint.behave(Behaviour(coldNow = true))
                delay(DETECTION_MS)
                val before = endpoint.stats().overloads
                delay(STILL_COLD_MS)
                val after = endpoint.stats()
                load.cancel()
                expectThat(after.overloads - before).describedAs("overloads after detection").isEqualTo(0)
                expectThat(after.running).describedAs("running while cold").isLessThan(COLD_LIMIT + 1)
            }
        }

    /** Keeps more calls waiting at every instance than the endpoint bears; returns the number of whole answers. */
    private suspend fun loadFully(fleet: Fleet, forMs: Long = LOAD_MS): Int {
        val answered = AtomicInteger()
        withTimeoutOrNull(forMs) { sendFully(fleet, answered) }
        return answered.get()
    }

    private companion object {
        const val LOAD_MS = 12_000L
        const val LONG_LOAD_MS = 60_000L

        /** Lag of the report, a renewal, and the end of the calls that ran when the endpoint turned cold. */
        const val DETECTION_MS = 2_000L
        const val STILL_COLD_MS = 700L
    }
}
