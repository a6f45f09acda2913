package io.oriolehall.standins.engine

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceUntilIdle
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.random.Random

@OptIn(ExperimentalCoroutinesApi::class)
class EnginePartsTest {
    private val prompt = List(64) { "word$it" }

    @Test
    fun `a free place goes to the highest priority and then to the longest wait`() = runTest {
        val slots = BatchSlots(size = 1)
        val order = mutableListOf<String>()
        launch { slots.use(0) { delay(10) } }
        runCurrent()
        for ((name, priority) in listOf("low" to 0, "high" to 5, "later" to 5)) {
            launch { slots.use(priority) { order += name } }
            runCurrent()
        }
        advanceUntilIdle()
        expectThat(order).containsExactly("high", "later", "low")
        expectThat(slots.running).isEqualTo(0)
    }

    @Test
    fun `a stream stopped while it waits frees its turn`() = runTest {
        val slots = BatchSlots(size = 1)
        val running = launch { slots.use(0) { awaitCancellation() } }
        val waiting = launch { slots.use(0) { awaitCancellation() } }
        runCurrent()
        waiting.cancel()
        runCurrent()
        expectThat(slots.queued).isEqualTo(0)
        running.cancel()
        advanceUntilIdle()
        expectThat(slots.running).isEqualTo(0)
    }

    @Test
    fun `a prompt seen before is found up to where it differs`() {
        val cache = PrefixCache(capacityTokens = 1_024) { _, _ -> }
        expectThat(cache.use(prompt)).isEqualTo(0)
        expectThat(cache.use(prompt)).isEqualTo(64)
        expectThat(cache.use(prompt.take(40) + prompt.take(24))).isEqualTo(32)
    }

    @Test
    fun `the block used longest ago leaves a full cache`() {
        val evicted = mutableListOf<String>()
        val cache = PrefixCache(capacityTokens = 64) { stored, prefix -> if (!stored) evicted += prefix }
        cache.use(prompt)
        cache.use(List(16) { "other" })
        expectThat(evicted).containsExactly(PrefixCache.prefixDigests(prompt).first())
    }

    @Test
    fun `cache events are published late and a lost one leaves a gap in the numbers`() {
        var nowMs = 0L
        val events = CacheEvents(lagMs = 500, gap = 0.5, { nowMs }, Random(3))
        repeat(100) { events.add(stored = true, "prefix$it") }
        expectThat(events.after(0).events).isEmpty()
        nowMs = 500
        val page = events.after(0)
        expectThat(page.events.size < 100 && page.next > page.events.size).isEqualTo(true)
        expectThat(events.after(page.next).events).isEmpty()
    }
}
