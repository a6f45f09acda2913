package io.oriolehall.proofs.load

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.entry.limits.OwnedEndpoint
import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.FleetBuilder
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.StageKind
import io.oriolehall.model.WireJson
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.builtins.ListSerializer
import java.util.concurrent.atomic.AtomicInteger

/** Eight instances around one endpoint that bears [COLD_LIMIT] calls at once for its first [coldMs] milliseconds. */
internal fun FleetBuilder.oneEndpoint(coldMs: Long, limits: String) {
    zone("z1") {
        entries(8)
        endpoint(
            id = ENDPOINT,
            pool = "encoders",
            kind = StageKind.ENCODE,
            coldLimit = COLD_LIMIT,
            warmLimit = WARM_LIMIT,
            arguments = listOf("--service-ms=40", "--cold-ms=$coldMs", "--cold-factor=2"),
        )
    }
    organisation("authority")
    pipeline("encode") { stage("encode", StageKind.ENCODE, "encoders", expectedMs = 60) }
    setting("policy", "limits", limits)
    setting("policy", "admission", "none")
}

/** Keeps more calls waiting at every instance of [fleet] than the endpoint bears, for ever. */
internal suspend fun sendFully(fleet: Fleet, answered: AtomicInteger): Unit = coroutineScope {
    for (entry in fleet.entries) {
        repeat(CALLERS_PER_ENTRY) { n -> launch { sendForEver(fleet, entry, n, answered) } }
    }
}

private suspend fun sendForEver(fleet: Fleet, entry: EntryProcess, n: Int, answered: AtomicInteger) {
    while (true) {
        val caller = fleet.caller("authority", entry)
        val outcome = caller.send("encode", PipelineRequest("furisode $n"), deadlineMs = DEADLINE_MS)
        if (outcome is CallOutcome.Whole) answered.incrementAndGet() else delay(REFUSED_WAIT_MS)
    }
}

/** The instance that says that all voters follow it, or null. */
internal suspend fun ownerIn(fleet: Fleet): EntryProcess? = fleet.entries.filter { it.process.alive }.find { entry ->
    val owned = WireJson.decodeFromString(ListSerializer(OwnedEndpoint.serializer()), entry.operators("/limits"))
    owned.any { it.endpoint.value == ENDPOINT && it.followers.size >= VOTERS }
}

internal const val ENDPOINT = "enc"
internal const val COLD_LIMIT = 2
internal const val WARM_LIMIT = 12
private const val VOTERS = 5
private const val CALLERS_PER_ENTRY = 3
private const val DEADLINE_MS = 2_000L
private const val REFUSED_WAIT_MS = 50L
