package io.oriolehall.harness.demo

import io.oriolehall.harness.fleet.FleetBuilder
import io.oriolehall.harness.fleet.FleetSpec
import io.oriolehall.harness.fleet.ZoneBuilder
import io.oriolehall.harness.fleet.fleetSpec
import io.oriolehall.model.StageKind

/**
 * A kind of request that a deployment's callers send.
 *
 * @property inputs texts to choose from.
 * @property weight how often it is sent, relative to the others.
 */
class RequestKind(val pipeline: String, val weight: Int, val maxTokens: Int, val inputs: List<String>)

/** One of the two deployments that the demo can run. */
enum class Deployment(val dataSet: String) {
    AUTHORITY("kimono") {
        override val organisations =
            listOf("bridal-halls", "rental-counters", "museum", "tailors", "festival-office")

        override val requests = listOf(
            RequestKind("summary", weight = 4, maxTokens = 48, KimonoTopics),
            RequestKind("fitting", weight = 2, maxTokens = 32, KimonoTopics),
            RequestKind("catalogue", weight = 2, maxTokens = 0, KimonoTopics),
            RequestKind("stock", weight = 3, maxTokens = 0, operations("lookup", KimonoItems)),
            RequestKind("deposit", weight = 3, maxTokens = 0, operations("hold", KimonoItems)),
        )

        override fun describe(fleet: FleetBuilder) = with(fleet) {
            zone("z1") { authorityZone(entries = 3) }
            zone("z2") { authorityZone(entries = 2) }
            zone("z3") { authorityZone(entries = 2) }
            textPipelines()
            pipeline("fitting") {
                stage("encode", StageKind.ENCODE, "encoders")
                stage("retrieve", StageKind.RETRIEVE, "retrievers")
                stage("rerank", StageKind.RERANK, "rerankers")
                stage("alterations", StageKind.CALL, "workshop")
                stage("generate", StageKind.GENERATE, "engines", expectedMs = 600)
            }
            pipeline("stock") { stage("look-up", StageKind.CALL, "booking") }
            pipeline("deposit") { stage("hold", StageKind.CALL, "booking", idempotent = false) }
        }

        private fun ZoneBuilder.authorityZone(entries: Int) {
            entries(entries)
            repeat(2) { engine("engine-$id-${it + 1}") }
            endpoint("encoder-$id", "encoders", StageKind.ENCODE)
            endpoint("retriever-$id", "retrievers", StageKind.RETRIEVE)
            endpoint("reranker-$id", "rerankers", StageKind.RERANK)
            endpoint("workshop-$id", "workshop", StageKind.CALL)
            endpoint("booking-$id", "booking", StageKind.CALL)
        }
    },

    LEMN("lemn") {
        override val organisations = listOf("workshops", "counters", "buyers", "head-office", "market-stalls")

        override val requests = listOf(
            RequestKind("summary", weight = 4, maxTokens = 48, LemnTopics),
            RequestKind("catalogue", weight = 2, maxTokens = 0, LemnTopics),
            RequestKind("stock", weight = 3, maxTokens = 0, operations("lookup", LemnItems)),
            RequestKind("order", weight = 4, maxTokens = 0, operations("order", LemnItems)),
        )

        override fun describe(fleet: FleetBuilder) = with(fleet) {
            listOf("z1", "z2", "z3", "z4").forEach { zone(it) { lemnZone() } }
            textPipelines()
            pipeline("stock") { stage("look-up", StageKind.CALL, "orders") }
            pipeline("order") {
                stage("order", StageKind.CALL, "orders", idempotent = false)
                stage("invoice", StageKind.CALL, "office")
            }
        }

        private fun ZoneBuilder.lemnZone() {
            entries(2)
            repeat(LEMN_ENGINES_PER_ZONE) { engine("engine-$id-${it + 1}") }
            endpoint("encoder-$id", "encoders", StageKind.ENCODE)
            val pools = if (id.value in listOf("z1", "z2")) {
                listOf("retrievers" to StageKind.RETRIEVE, "rerankers" to StageKind.RERANK)
            } else {
                listOf("office" to StageKind.CALL, "training" to StageKind.CALL)
            }
            pools.forEach { (pool, kind) -> endpoint("$pool-$id", pool, kind) }
            endpoint("orders-$id", "orders", StageKind.CALL)
        }
    }, ;

    /** Names of its organisations. */
    abstract val organisations: List<String>

    /** What its callers send. */
    abstract val requests: List<RequestKind>

    protected abstract fun describe(fleet: FleetBuilder)

    /** The processes and the first ticket of the deployment. */
    fun fleet(): FleetSpec = fleetSpec("demo-${name.lowercase()}") {
        proxied = true
        dataSet = this@Deployment.dataSet
        describe(this)
        organisations.forEachIndexed { index, organisation ->
            organisation(organisation, share = if (index < LARGE_ORGANISATIONS) LARGE_SHARE else 1)
        }
    }

    private companion object {
        const val LARGE_ORGANISATIONS = 2
        const val LARGE_SHARE = 3
    }
}

private const val LEMN_ENGINES_PER_ZONE = 3

private val KimonoTopics = listOf(
    "history of the vermilion furisode with cranes",
    "care of silk after a rainy ceremony",
    "how to fold an obi for a bride",
    "mending a torn sleeve lining",
    "uchikake with pine and wave, past rentals",
    "crests on a formal tomesode",
)
private val KimonoItems = listOf("furisode vermilion crane", "furisode white plum", "tomesode five crests")

private val LemnTopics = listOf(
    "care of a beech rolling pin",
    "quote for tapered maple pins",
    "drying beech blanks before turning",
    "speed at the lathe for long pins",
    "checks in the end grain",
)
private val LemnItems = listOf("beech pin", "maple pin tapered", "french pin")

private fun operations(operation: String, items: List<String>) =
    items.map { """{"operation":"$operation","item":"$it","quantity":1,"customer":"demo"}""" }

private fun ZoneBuilder.engine(id: String) = endpoint(
    id = id,
    pool = "engines",
    kind = StageKind.GENERATE,
    coldLimit = 4,
    arguments = listOf("--tokens-per-second=80"),
)

private fun FleetBuilder.textPipelines() {
    pipeline("summary") {
        stage("encode", StageKind.ENCODE, "encoders")
        stage("retrieve", StageKind.RETRIEVE, "retrievers")
        stage("rerank", StageKind.RERANK, "rerankers")
        stage("generate", StageKind.GENERATE, "engines", expectedMs = 900)
    }
    pipeline("catalogue") {
        stage("encode", StageKind.ENCODE, "encoders")
        stage("retrieve", StageKind.RETRIEVE, "retrievers")
        stage("rerank", StageKind.RERANK, "rerankers")
    }
}
