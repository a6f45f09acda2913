package io.oriolehall.standins.platform

import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

@OptIn(ExperimentalCoroutinesApi::class)
class PlatformStoreTest {
    private var nowMs = 0L
    private val store = PlatformStore(listLagMs = 500) { nowMs }

    @Test
    fun `a watch waits until a ticket is published`() = runTest {
        val watch = async { store.awaitPage(after = 0, limit = 10, waitMs = 30_000) }
        runCurrent()
        expectThat(watch.isCompleted).isFalse()
        store.publish("one")
        expectThat(watch.await()?.tickets?.map { it.text }).isEqualTo(listOf("one"))
        expectThat(currentTime).isEqualTo(0)
    }

    @Test
    fun `a watch without news ends empty after its time`() = runTest {
        expectThat(store.awaitPage(after = 0, limit = 10, waitMs = 700)?.tickets).isEqualTo(emptyList())
        expectThat(currentTime).isEqualTo(700)
    }

    @Test
    fun `a watch ends without a page when the service goes down`() = runTest {
        val watch = async { store.awaitPage(after = 0, limit = 10, waitMs = 30_000) }
        runCurrent()
        store.setMode(PlatformMode(PlatformState.DOWN))
        expectThat(watch.await()).isNull()
    }

    @Test
    fun `pages follow each other by revision`() {
        repeat(3) { store.publish("ticket $it") }
        val first = store.page(after = 0, limit = 2)
        expectThat(first.more).isTrue()
        expectThat(store.page(first.revision, limit = 2).tickets.map { it.text }).isEqualTo(listOf("ticket 2"))
    }

    @Test
    fun `a stale service shows what it held when it became stale`() {
        store.publish("old")
        store.setMode(PlatformMode(PlatformState.STALE))
        store.publish("new")
        expectThat(store.page(after = 0, limit = 10).tickets.map { it.text }).isEqualTo(listOf("old"))
        store.setMode(PlatformMode(PlatformState.UP))
        expectThat(store.page(after = 0, limit = 10).tickets.size).isEqualTo(2)
    }

    @Test
    fun `an instance list is shown after its lag`() {
        store.publishInstances(listOf(Instance(InstanceId("i"), ZoneId("a"), NetworkAddress("127.0.0.1", 1))))
        expectThat(store.instances().instances).isEmpty()
        nowMs = 500
        expectThat(store.instances().instances.map { it.id.value }).isEqualTo(listOf("i"))
    }

    @Test
    fun `reads beyond the rate are refused until time has passed`() {
        var nanos = 0L
        val reads = ReadCounter(perSecond = 10) { nanos }
        repeat(10) { expectThat(reads.admit("/v1/tickets")).isTrue() }
        expectThat(reads.admit("/v1/tickets")).isFalse()
        nanos = 100_000_000
        expectThat(reads.admit("/v1/tickets")).isTrue()
        expectThat(reads.stats().refused).isEqualTo(1)
    }
}
