package io.oriolehall.proofs.keys

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.EntryProcess
import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.FleetBuilder
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.RunOutcome
import io.oriolehall.model.StageKind
import kotlinx.coroutines.withTimeoutOrNull

internal const val SHOP = "lemn"
internal const val OTHER_SHOP = "authority"
internal const val ORDER = "order"

/** The same service without protection: its stage is declared idempotent. */
internal const val UNPROTECTED = "unprotected-order"

/** Zones z1 to z[zones], each with [entriesPerZone] entry instances and one plain service. */
internal fun FleetBuilder.orders(zones: Int, entriesPerZone: Int) {
    proxied = true
    for (zone in 1..zones) {
        zone("z$zone") {
            entries(entriesPerZone)
            endpoint("stock-$zone", "stock", StageKind.CALL)
        }
    }
    organisation(SHOP)
    organisation(OTHER_SHOP)
    pipeline(ORDER) { stage("order", StageKind.CALL, "stock", idempotent = false) }
    pipeline(UNPROTECTED) { stage("order", StageKind.CALL, "stock") }
}

internal fun order(customer: String) =
    PipelineRequest("""{"operation":"order","item":"rolling pin","quantity":1,"customer":"$customer"}""")

/** What a caller knows after one sending: an outcome, or null when it stopped waiting. */
internal suspend fun Fleet.order(
    entry: EntryProcess,
    key: String,
    customer: String = "c-1",
    organisation: String = SHOP,
    deadlineMs: Long = 2_000,
): CallOutcome? = withTimeoutOrNull(deadlineMs + PATIENCE_MS) {
    caller(organisation, entry).send(ORDER, order(customer), deadlineMs = deadlineMs, key = key)
}

internal suspend fun Fleet.token(entry: EntryProcess): String =
    checkNotNull(caller(SHOP, entry).mintToken()) { "${entry.spec.id} minted no token" }.token

internal suspend fun Fleet.executions(key: String): Int = executionsByKey()[key] ?: 0

/** What a refusal said of the run; null for anything else. */
internal val CallOutcome?.refusedAs: RunOutcome? get() = (this as? CallOutcome.Refused)?.problem?.outcome

internal val CallOutcome?.problemType: String?
    get() = (this as? CallOutcome.Refused)?.problem?.type?.substringAfterLast(':')

private const val PATIENCE_MS = 1_500L
