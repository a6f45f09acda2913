package io.oriolehall.standins.weights

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import kotlin.system.measureTimeMillis

class WeightStoreTest {
    @Test
    fun `fetches at once share the rate and are counted`(): Unit = runBlocking(Dispatchers.Default) {
        val store = WeightStore(bytesPerSecond = 1_000_000, modelBytes = 100_000)
        val tookMs = measureTimeMillis {
            List(2) { async { store.fetch("oak/1") {} } }.awaitAll()
        }
        expectThat(tookMs).isGreaterThanOrEqualTo(190)
        expectThat(store.stats().fetches).isEqualTo(mapOf("oak/1" to 2))
        expectThat(store.stats().bytes).isEqualTo(200_000)
    }
}
