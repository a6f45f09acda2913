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

/** An order whose answer an engine then writes, piece by piece. */
internal const val WRITTEN_ORDER = "written-order"

/** The same service without protection: its stage is declared idempotent. */
internal const val UNPROTECTED = "unprotected-order"

/** Zones z1 to z[zones], each with [entriesPerZone] entry instances and one plain service. */
internal fun FleetBuilder.orders(zones: Int, entriesPerZone: Int) {
    proxied = true
    for (zone in 1..zones) {
        zone("z$zone") {
            entries(entriesPerZone)
            endpoint("stock-$zone", "stock", StageKind.CALL)
            endpoint("gen-$zone", "engines", StageKind.GENERATE, arguments = listOf("--tokens-per-second=20"))
        }
    }
    organisation(SHOP)
    organisation(OTHER_SHOP)
    pipeline(ORDER) { stage("order", StageKind.CALL, "stock", idempotent = false) }
    pipeline(WRITTEN_ORDER) {
        stage("order", StageKind.CALL, "stock", idempotent = false)
        stage("write", StageKind.GENERATE, "engines", expectedMs = 1_000)
    }
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
    pipeline: String = ORDER,
    onText: (String) -> Unit = {},
): CallOutcome? = withTimeoutOrNull(deadlineMs + PATIENCE_MS) {
    val request = order(customer).copy(maxTokens = TOKENS)
    caller(organisation, entry).send(pipeline, request, deadlineMs = deadlineMs, key = key, onText = onText)
}

internal suspend fun Fleet.token(entry: EntryProcess): String =
    checkNotNull(caller(SHOP, entry).mintToken()) { "${entry.spec.id} minted no token" }.token

internal suspend fun Fleet.executions(key: String): Int = executionsByKey()[key] ?: 0

/** What a refusal said of the run; null for anything else. */
internal val CallOutcome?.refusedAs: RunOutcome? get() = (this as? CallOutcome.Refused)?.problem?.outcome

internal val CallOutcome?.problemType: String?
    get() = (this as? CallOutcome.Refused)?.problem?.type?.substringAfterLast(':')

private const val PATIENCE_MS = 1_500L

/** Tokens of a written answer. */
private const val TOKENS = 20
