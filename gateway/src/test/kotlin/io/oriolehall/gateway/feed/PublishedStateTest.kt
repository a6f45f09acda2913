package io.oriolehall.gateway.feed

import io.oriolehall.dispatch.config.CallerLimits
import io.oriolehall.dispatch.config.Organisation
import io.oriolehall.dispatch.config.ServingConfig
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.store.StorePosition
import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.ZoneId
import io.oriolehall.runtime.CoroutineTimerService
import io.oriolehall.runtime.EventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.lang.ref.WeakReference

class PublishedStateTest {
    private val log = EventLog { _, _ -> }
    private val state = PublishedState(CoroutineTimerService(CoroutineScope(Dispatchers.Default), log), log)

    private fun endpoint(id: String) =
        EndpointRecord(EndpointId(id), 1, "s", NetworkAddress("10.0.0.1", 1), ZoneId("z"), 1, false, 0)

    private fun snapshot(revision: Long, endpoints: List<String>, keys: List<String>) = FeedSnapshot(
        asOf = revision,
        configRevision = revision,
        config = ServingConfig(
            revision,
            emptyList(),
            emptyList(),
            CallerLimits(),
            listOf(Organisation(OrganisationId("o"), keys)),
        ),
        endpoints = endpoints.map(::endpoint),
        evacuated = emptyList(),
    )

    private fun replace(snapshot: FeedSnapshot) =
        state.replace(snapshot, state.now(), storeUninterrupted = true, source = "test")

    /** A restarted instance reads the platform and asks others that may be behind, in any order. */
    @Test
    fun `after a restart an endpoint that left and a key that was withdrawn stay out, whoever is asked later`() {
        replace(snapshot(revision = 9, endpoints = listOf("e2"), keys = listOf("new")))
        replace(snapshot(revision = 5, endpoints = listOf("e1", "e2"), keys = listOf("old")))
        expectThat(state.endpoints.usable("s").map { it.id.value }).containsExactly("e2")
        val table = checkNotNull(state.configHolder.current).table
        expectThat(table.organisation("old")).isNull()
        expectThat(table.organisation("new")).isNotNull()
    }

    /** Guards against review case 2: every version was kept, and some hundred versions exhausted the heap. */
    @Suppress("ExplicitGarbageCollectionCall") // The test is about what a collection frees.
    @Test
    fun `only the configuration in force stays in memory when versions come in quick succession`() {
        val versions = (1L..300L).map { version ->
            val config = ServingConfig(version, emptyList(), emptyList(), CallerLimits(), emptyList())
            state.apply(
                FeedChanges(StorePosition(0, version), listOf(PublishedChange.ConfigPublished(version, config))),
                state.now(),
            )
            WeakReference(config)
        }
        val waitUntilMs = System.currentTimeMillis() + MAX_COLLECTION_MS
        while (versions.count { it.get() != null } > 1 && System.currentTimeMillis() < waitUntilMs) System.gc()
        expectThat(versions.filter { it.get() != null }.map { it.get()?.version }).containsExactly(300L)
    }

    private companion object {
        const val MAX_COLLECTION_MS = 5_000L
    }
}
