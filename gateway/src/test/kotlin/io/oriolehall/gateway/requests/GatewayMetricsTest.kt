package io.oriolehall.gateway.requests

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import java.util.concurrent.atomic.AtomicLong

/** Guards against a gauge that reads NaN because its source, which nothing else holds, was collected. */
class GatewayMetricsTest {
    @Test
    @Suppress("ExplicitGarbageCollectionCall") // A collection is the cause of the failure.
    fun `the memory of answers is shown after a garbage collection`() {
        val metrics = GatewayMetrics()
        metrics.observeAnswerMemory(AtomicLong(7)::get)
        System.gc()
        expectThat(metrics.scrape()).contains("oriolehall_answer_memory_bytes 7.0")
    }
}
