package io.oriolehall.entry.answers

import io.oriolehall.model.OrganisationId
import io.oriolehall.model.Refusal
import io.oriolehall.model.RefusalKind
import io.oriolehall.model.RequestId
import kotlinx.coroutines.async
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class AnswerTest {
    private val answer = Answer(RequestId("a~1"), OrganisationId("authority"))

    private suspend fun textFrom(offset: Long): String {
        val bytes = StringBuilder()
        answer.follow(offset) { if (it is AnswerItem.Chunk) bytes.append(it.text) }
        return bytes.toString()
    }

    @Test
    fun `a reader that starts late gets the same text as one that starts early`() = runTest {
        val early = async { textFrom(0) }
        testScheduler.runCurrent()
        answer.append("furi")
        testScheduler.runCurrent()
        answer.append("sode")
        answer.finish()
        expectThat(early.await()).isEqualTo("furisode")
        expectThat(textFrom(0)).isEqualTo("furisode")
    }

    @Test
    fun `a reader that resumes in the middle of a chunk gets the rest of it`() = runTest {
        answer.append("Făgăraș")
        answer.append(" Lemn")
        answer.finish()
        val resumeAt = "Făg".encodeToByteArray().size.toLong()
        expectThat(textFrom(resumeAt)).isEqualTo("ăraș Lemn")
    }

    @Test
    fun `a reader in the middle of an answer that ends gets the rest once`() = runTest {
        answer.append("furi")
        val received = mutableListOf<AnswerItem>()
        val reader = async { answer.follow(0) { received += it } }
        testScheduler.runCurrent()
        answer.append("so")
        answer.append("de")
        answer.finish()
        reader.await()
        expectThat(received.dropLast(1)).isEqualTo(listOf(AnswerItem.Chunk(0, "furi"), AnswerItem.Chunk(4, "sode")))
    }

    @Test
    fun `the end carries the length in bytes`() = runTest {
        answer.append("ș")
        answer.finish()
        expectThat(answer.state.value.ending).isA<AnswerItem.End>().get { length }.isEqualTo(2)
    }

    @Test
    fun `nothing is added after the ending and the first ending stays`() {
        answer.refuse(Refusal(RefusalKind.OVERLOADED, "full"))
        answer.finish()
        expectThat(answer.state.value.ending).isA<AnswerItem.Refused>()
        expectCatching { answer.append("late") }.isFailure().isA<IllegalStateException>()
    }

    @Test
    fun `a refusal before any text is told apart from one after some`() = runTest {
        answer.append("obi")
        answer.refuse(Refusal(RefusalKind.STAGE_FAILED, "engine gone"))
        expectThat(answer.refusalBeforeText(0)).isNull()
        expectThat(answer.refusalBeforeText(answer.length)).isNotNull()
    }

    @Test
    fun `an answer whose reader waits for its first text is not abandoned`() = runTest {
        val reader = async { answer.refusalBeforeText(0) }
        testScheduler.runCurrent()
        val abandoned = async { answer.awaitAbandoned(graceMs = 100) }
        testScheduler.advanceTimeBy(10_000)
        expectThat(abandoned.isCompleted).isEqualTo(false)
        answer.finish()
        reader.await()
        abandoned.await()
    }
}
