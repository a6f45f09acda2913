package io.oriolehall.gateway.feed

import io.oriolehall.dispatch.config.CallerLimits
import io.oriolehall.dispatch.config.Organisation
import io.oriolehall.dispatch.config.Route
import io.oriolehall.dispatch.config.RouteKind
import io.oriolehall.dispatch.config.RouteTarget
import io.oriolehall.dispatch.config.ServingConfig
import io.oriolehall.dispatch.config.StageSpec
import io.oriolehall.model.OrganisationId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Guards against configurations that fill the links between instances when they have many routes. */
@OptIn(ExperimentalSerializationApi::class)
class CompressedConfigSerializerTest {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
    }

    private fun config(routes: Int, version: Long = 1) = ServingConfig(
        version = version,
        routes = List(routes) {
            Route(
                name = "route-$it",
                host = "host.example",
                prefix = "/path$it/",
                kind = RouteKind.STREAMING,
                timeoutMs = 15_000,
                objectiveMs = 2_000 + it.toLong() % 7,
                priority = it % 3,
                targets = listOf(RouteTarget("engine", 1)),
                maxAttempts = 2,
                stages = listOf(StageSpec("stage", emptyList(), 8_000)),
            )
        },
        services = emptyList(),
        limits = CallerLimits(),
        organisations = listOf(Organisation(OrganisationId("o"), listOf("key"))),
    )

    private fun snapshot(config: ServingConfig?) = FeedSnapshot(7, 3, config, emptyList(), emptyList())

    private fun encode(config: ServingConfig?): ByteArray =
        cbor.encodeToByteArray(FeedSnapshot.serializer(), snapshot(config))

    private fun decode(bytes: ByteArray): FeedSnapshot = cbor.decodeFromByteArray(FeedSnapshot.serializer(), bytes)

    @Test
    fun `a snapshot is the same after it has been sent, with and without a configuration`() {
        for (config in listOf(config(routes = 0), config(routes = 1_600), null)) {
            expectThat(decode(encode(config))).isEqualTo(snapshot(config))
        }
    }

    @Test
    fun `a changed configuration is not sent as the one before`() {
        encode(config(routes = 3, version = 1))
        val changed = config(routes = 3, version = 2)
        expectThat(decode(encode(changed)).config).isEqualTo(changed)
    }

    @Test
    fun `a change is the same after it has been sent`() {
        val change: PublishedChange = PublishedChange.ConfigPublished(5, config(routes = 2))
        val bytes = cbor.encodeToByteArray(PublishedChange.serializer(), change)
        expectThat(cbor.decodeFromByteArray(PublishedChange.serializer(), bytes)).isEqualTo(change)
    }

    @Test
    fun `many similar routes take a small part of their uncompressed size`() {
        val config = config(routes = 1_600)
        val uncompressed = cbor.encodeToByteArray(ServingConfig.serializer(), config)
        expectThat(encode(config).size).isLessThan(uncompressed.size / 8)
    }

    @Test
    fun `a damaged block is an error of the message`() {
        val bytes = encode(config(routes = 50))
        val middle = bytes.size / 2
        for (i in middle until middle + 8) bytes[i] = (bytes[i] + 1).toByte()
        expectThrows<SerializationException> { decode(bytes) }
    }
}
