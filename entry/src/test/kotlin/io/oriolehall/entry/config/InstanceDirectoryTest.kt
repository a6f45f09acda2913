package io.oriolehall.entry.config

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import io.oriolehall.runtime.Subscription
import io.oriolehall.runtime.TimerService
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize

class InstanceDirectoryTest {
    private val http = HttpClient(CIO)

    @AfterEach
    fun close() = http.close()

    /** A clock that the test sets; each step runs the periodic actions once. */
    private class SteppedTimers : TimerService {
        private val actions = mutableListOf<suspend () -> Unit>()
        private var now = 0L

        override fun nowMs() = now

        override fun wallClockMs() = now

        override fun every(name: String, periodMs: Long, jitter: Double, action: suspend () -> Unit): Subscription {
            actions += action
            return Subscription { actions -= action }
        }

        override fun after(name: String, delayMs: Long, action: suspend () -> Unit) = Subscription { }

        suspend fun step(toMs: Long) {
            now = toMs
            actions.forEach { it() }
        }
    }

    private fun instance(name: String) = Instance(InstanceId(name), ZoneId("a"), NetworkAddress("127.0.0.1", 1))

    @Test
    fun `the list is read often at first, seldom later, and soon when it is asked for`() = runBlocking<Unit> {
        FakePlatform().use { platform ->
            val timers = SteppedTimers()
            val directory = InstanceDirectory(http, platform.start(), timers)
            directory.start()
            platform.instances += instance("one")
            timers.step(2_000)
            expectThat(directory.instances).describedAs("in the first seconds").hasSize(1)
            timers.step(12_000)
            platform.instances += instance("two")
            timers.step(40_000)
            expectThat(directory.instances).describedAs("not due yet").hasSize(1)
            timers.step(42_000)
            expectThat(directory.instances).describedAs("30 s after the last read").hasSize(2)
            platform.instances += instance("three")
            directory.refresh()
            timers.step(44_000)
            expectThat(directory.instances).describedAs("asked for").hasSize(3)
        }
    }
}
