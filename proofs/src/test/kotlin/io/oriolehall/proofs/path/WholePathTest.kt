package io.oriolehall.proofs.path

import io.oriolehall.cli.client.CallOutcome
import io.oriolehall.harness.fleet.FleetBuilder
import io.oriolehall.harness.fleet.newKey
import io.oriolehall.harness.fleet.withFleet
import io.oriolehall.model.PipelineRequest
import io.oriolehall.model.StageKind
import io.oriolehall.standins.compute.DataSet
import io.oriolehall.standins.compute.expectedAnswer
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.get
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.map

class WholePathTest {
    private val data = DataSet.load("kimono")

    @Test
    fun `a request through each instance passes all stages and its answer is whole`() = withFleet("path", { small() }) {
        val pipeline = it.pipeline("summary")
        for (entry in it.entries) {
            val request = PipelineRequest("garment history of a furisode with cranes, ${entry.spec.id}", maxTokens = 24)
            val outcome = it.caller("authority", entry).send("summary", request)
            expectThat(outcome).isA<CallOutcome.Whole>().and {
                get { text } isEqualTo expectedAnswer(pipeline, request.input, request.maxTokens, data)
                get { instance } isEqualTo entry.spec.id
            }
            val record = entry.explain((outcome as CallOutcome.Whole).requestId)
            expectThat(record).isNotNull().get { attempts }.map { attempt -> attempt.stage }
                .isEqualTo(listOf("encode", "retrieve", "rerank", "generate"))
        }
    }

    @Test
    fun `an order reaches the plain service once`() = withFleet("path-order", { small() }) {
        val order = """{"operation":"order","item":"furisode","quantity":1,"customer":"c-1"}"""
        val key = newKey()
        val outcome = it.caller("authority", it.entries.first()).send("order", PipelineRequest(order), key = key)
        expectThat(outcome).isA<CallOutcome.Whole>()
            .get { text } isEqualTo expectedAnswer(it.pipeline("order"), order, 0, data)
        expectThat(it.endpoint("stock-1").stats()) {
            get { executionsByKey }.hasSize(1).get { values.first() } isEqualTo 1
        }
    }

    private fun FleetBuilder.small() {
        for (zone in listOf("z1", "z2")) {
            zone(zone) {
                entries(1)
                endpoint("enc-$zone", "encoders", StageKind.ENCODE)
                endpoint("gen-$zone", "engines", StageKind.GENERATE, arguments = listOf("--tokens-per-second=200"))
                if (zone == "z1") {
                    endpoint("ret-1", "retrievers", StageKind.RETRIEVE)
                    endpoint("rank-1", "rerankers", StageKind.RERANK)
                    endpoint("stock-1", "stock", StageKind.CALL)
                }
            }
        }
        organisation("authority")
        pipeline("summary") {
            stage("encode", StageKind.ENCODE, "encoders")
            stage("retrieve", StageKind.RETRIEVE, "retrievers")
            stage("rerank", StageKind.RERANK, "rerankers")
            stage("generate", StageKind.GENERATE, "engines", expectedMs = 300)
        }
        pipeline("order") { stage("order", StageKind.CALL, "stock", idempotent = false) }
    }
}
