package io.oriolehall.standins.compute

import io.oriolehall.model.Pipeline
import io.oriolehall.model.PipelineId
import io.oriolehall.model.PoolId
import io.oriolehall.model.Stage
import io.oriolehall.model.StageKind
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.startsWith

class StageComputerTest {
    private val data = DataSet.load("kimono")
    private val computer = StageComputer(data)
    private val input = "How is rinzu silk steamed?"

    @Test
    fun `the whole pipeline answers from the documents that fit the question`() {
        val kinds = listOf(StageKind.ENCODE, StageKind.RETRIEVE, StageKind.RERANK, StageKind.GENERATE)
        val pipeline = Pipeline(PipelineId("p"), kinds.map { Stage(it.name, it, PoolId(it.name)) })
        val answer = expectedAnswer(pipeline, input, maxTokens = 40, data)
        expectThat(answer).contains("steamed from the reverse")
        expectThat(expectedAnswer(pipeline, "$input Please.", maxTokens = 40, data)).isNotEqualTo(answer)
    }

    @Test
    fun `a shorter answer is the beginning of a longer one`() {
        val long = computer.generate(input, maxTokens = 50).joinToString("")
        expectThat(long).startsWith(computer.generate(input, maxTokens = 20).joinToString(""))
    }

    @Test
    fun `a result handed to another request is noticed by the next stage`() {
        val mixed = computer.compute(StageKind.ENCODE, input, input).replace("rinzu", "ro")
        expectThrows<StageInputException> { computer.compute(StageKind.RETRIEVE, mixed, input) }
    }

    @Test
    fun `every data set has documents and stock to search`() {
        for (name in DataSet.Names) {
            val set = DataSet.load(name)
            expectThat(set.documents.size).isGreaterThan(50)
            expectThat(set.documents.map { it.id }.toSet().size).isEqualTo(set.documents.size)
            expectThat(set.stock.all { it.quantity > 0 }).isEqualTo(true)
        }
    }
}
