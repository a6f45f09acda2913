package io.oriolehall.dispatch.endpoints

import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class EndpointDirectoryTest {
    private val directory = EndpointDirectory(reRegistrationGraceMs = 2_000)

    private fun endpoint(name: String, startedAtMs: Long = 1, draining: Boolean = false, zone: String = "a") =
        EndpointRecord(EndpointId(name), startedAtMs, "s", NetworkAddress("10.0.0.1", 1), ZoneId(zone), 1, draining, 0)

    private fun EndpointDirectory.register(record: EndpointRecord) = register(record, nowMs = 10_000)

    private fun usableIds() = directory.snapshot.usable("s").map { it.id.value }

    @Test
    fun `an endpoint that drains or whose zone is evacuated gets nothing`() {
        directory.register(endpoint("x", draining = true))
        directory.register(endpoint("y", zone = "b"))
        directory.setEvacuated(listOf(ZoneId("b")))
        expectThat(usableIds()).isEmpty()
        directory.setEvacuated(emptyList())
        expectThat(usableIds()).containsExactly("y")
    }

    @Test
    fun `an entry that is removed while the store serves is gone at once`() {
        directory.register(endpoint("x"))
        directory.withdraw(EndpointId("x"), nowMs = 10_000, storeUninterrupted = true)
        expectThat(usableIds()).isEmpty()
    }

    @Test
    fun `an entry that lapsed in an outage is kept until its endpoint had time to register again`() {
        directory.register(endpoint("x"))
        directory.onStoreRecovered(nowMs = 10_000)
        directory.replaceAll(emptyList(), nowMs = 10_010, storeUninterrupted = false)
        directory.expire(nowMs = 11_900)
        expectThat(usableIds()).containsExactly("x")
        directory.expire(nowMs = 12_000)
        expectThat(usableIds()).isEmpty()
    }

    @Test
    fun `an entry that comes back after an outage stays`() {
        directory.register(endpoint("x"))
        directory.onStoreRecovered(nowMs = 10_000)
        directory.replaceAll(emptyList(), nowMs = 10_010, storeUninterrupted = false)
        directory.register(endpoint("x"))
        directory.expire(nowMs = 20_000)
        expectThat(usableIds()).containsExactly("x")
    }

    @Test
    fun `a draining endpoint whose entry lapses is gone at once`() {
        directory.register(endpoint("x", draining = true))
        directory.onStoreRecovered(nowMs = 10_000)
        directory.withdraw(EndpointId("x"), nowMs = 10_010, storeUninterrupted = false)
        expectThat(directory.snapshot.endpoints.keys).isEmpty()
    }

    @Test
    fun `another life under the same name is not the endpoint that was chosen`() {
        val first = endpoint("x", startedAtMs = 1)
        directory.register(first)
        directory.register(endpoint("x", startedAtMs = 2))
        expectThat(directory.snapshot.obstacleFor(first)).isEqualTo(SendObstacle.NOT_REGISTERED)
    }

    /** Guards against an endpoint that gets every request while it drains, because the copy shows it as ready. */
    @Test
    fun `a copy undoes neither the draining nor the withdrawal of an incarnation nor a later incarnation`() {
        directory.register(endpoint("drains", draining = true))
        directory.register(endpoint("gone"))
        directory.withdraw(EndpointId("gone"), nowMs = 9_000, storeUninterrupted = true)
        directory.register(endpoint("new", startedAtMs = 2))
        directory.onStoreRecovered(nowMs = 10_000)
        val copy = listOf(endpoint("drains"), endpoint("gone"), endpoint("new"), endpoint("other"))
        directory.mergeCopy(copy, nowMs = 10_010)
        expectThat(usableIds()).containsExactlyInAnyOrder("new", "other")
        expectThat(directory.snapshot.endpoints[EndpointId("new")]?.startedAtMs).isEqualTo(2)
        directory.register(endpoint("gone"))
        directory.register(endpoint("drains"))
        expectThat(usableIds()).containsExactlyInAnyOrder("drains", "gone", "new", "other")
    }

    @Test
    fun `a later incarnation that the copy lost is withdrawn unless it registers again`() {
        directory.register(endpoint("x", startedAtMs = 2))
        directory.onStoreRecovered(nowMs = 10_000)
        directory.mergeCopy(listOf(endpoint("x", startedAtMs = 1)), nowMs = 10_010)
        directory.expire(nowMs = 11_999)
        expectThat(usableIds()).containsExactly("x")
        directory.expire(nowMs = 12_000)
        expectThat(usableIds()).isEmpty()
    }

    @Test
    fun `what the store shows when the protection is over is in force`() {
        directory.register(endpoint("drains", draining = true))
        directory.mergeCopy(listOf(endpoint("drains")), nowMs = 10_010)
        directory.replaceAll(listOf(endpoint("drains")), nowMs = 15_010, storeUninterrupted = true)
        expectThat(usableIds()).containsExactly("drains")
    }
}
