package io.oriolehall.harness.experiment

import io.oriolehall.harness.fleet.EndpointProcess
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.standins.endpoint.EndpointStats
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** What the endpoints of [fleet] count during a run; the counts of those that are restarted meanwhile are added up. */
internal class EndpointWatch(private val fleet: Fleet) {
    private val before = ConcurrentHashMap<String, EndpointStats>()
    private val fullUseMs = ConcurrentHashMap<String, Long>()

    /** Keeps the counts of [endpoint], which is about to be restarted or changed. */
    suspend fun keep(endpoint: EndpointProcess) {
        before[endpoint.spec.id.value] = endpoint.stats()
    }

    /** Measures how long the endpoints named [cold] take from now until each runs all that it bears when warm. */
    suspend fun awaitFullUse(cold: List<String>) = coroutineScope {
        val startNs = System.nanoTime()
        cold.map(fleet::endpoint).forEach { endpoint ->
            launch {
                awaitRunning(endpoint) { it <= endpoint.spec.coldLimit }
                awaitRunning(endpoint) { it >= endpoint.spec.warmLimit }
                fullUseMs[endpoint.spec.id.value] = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs)
            }
        }
    }

    private suspend fun awaitRunning(endpoint: EndpointProcess, holds: (Int) -> Boolean) {
        while (!holds(endpoint.stats().running)) delay(SAMPLE_MS)
    }

    suspend fun results(): List<EndpointResult> = fleet.endpoints.map { result(it) }

    private suspend fun result(endpoint: EndpointProcess): EndpointResult {
        val id = endpoint.spec.id.value
        val stats = statsOrNull(endpoint) ?: return EndpointResult(id, alive = false)
        val earlier = before[id]?.takeIf { it.startedAtMs != stats.startedAtMs }
        return EndpointResult(
            endpoint = id,
            alive = true,
            overloads = stats.overloads + (earlier?.overloads ?: 0),
            declined = stats.declined + (earlier?.declined ?: 0),
            maxConcurrency = maxOf(stats.maxConcurrency, earlier?.maxConcurrency ?: 0),
            wastedMs = stats.wastedMs + (earlier?.wastedMs ?: 0.0),
            calls = (listOf(stats) + listOfNotNull(earlier)).sumOf { it.stageCalls.values.sum() },
            fullUseMs = fullUseMs[id],
        )
    }

    private suspend fun statsOrNull(endpoint: EndpointProcess): EndpointStats? =
        if (endpoint.process.alive) {
            try {
                endpoint.stats()
            } catch (e: IOException) {
                null
            }
        } else {
            null
        }

    private companion object {
        const val SAMPLE_MS = 50L
    }
}
