package io.oriolehall.entry.stages

import com.github.michaelbull.result.Result
import io.oriolehall.model.EndpointId
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.RequestId
import io.oriolehall.model.StageCall
import io.oriolehall.model.StageResult
import io.oriolehall.model.StreamEnd
import io.oriolehall.model.StreamLine
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.security.MessageDigest

class StreamReaderTest {
    private val pieces = mutableListOf<String>()
    private val text = GeneratedText { pieces += it }

    @Test
    fun `lines are handed on and the end is checked against the whole`() {
        val reader = reader(attempt = 1)
        reader.takes(line(0, "rolling "), line(8, "pin"))
        expectThat(reader.take(end("rolling pin"))!!.value.output).isEqualTo("rolling pin")
        expectThat(pieces.toList()).isEqualTo(listOf("rolling ", "pin"))
    }

    @Test
    fun `a line that came before is dropped`() {
        reader(attempt = 1).takes(line(0, "rolling "), line(0, "rolling "), line(8, "pin"), line(0, "rolling "))
        expectThat(text.toString()).isEqualTo("rolling pin")
    }

    @Test
    fun `a line of an earlier attempt is dropped`() {
        reader(attempt = 2).takes(line(0, "late", attempt = 1), line(0, "rolling ", attempt = 2))
        expectThat(text.toString()).isEqualTo("rolling ")
    }

    @Test
    fun `a line of another request fails the call`() {
        val foreign = line(0, "x").copy(requestId = RequestId("other"))
        expectThat(reader(attempt = 1).take(foreign)!!.error).isA<StageFailure.Mismatched>()
    }

    @Test
    fun `a missing line counts as a broken stream`() {
        val reader = reader(attempt = 1)
        reader.takes(line(0, "rolling "))
        expectThat(reader.take(line(9, "in"))!!.error).isA<StageFailure.Lost>()
        expectThat(reader.position).isEqualTo(8)
    }

    @Test
    fun `a second attempt goes on where the first one ended, also inside a line`() {
        reader(attempt = 1).takes(line(0, "rolling "), line(8, "p"))
        val second = reader(attempt = 2)
        second.takes(line(0, "rolling ", attempt = 2), line(8, "pin", attempt = 2))
        expectThat(pieces.toList()).isEqualTo(listOf("rolling ", "p", "in"))
        expectThat(second.take(end("rolling pin", attempt = 2))!!.isOk).isTrue()
    }

    @Test
    fun `a second attempt with another beginning is not handed on`() {
        reader(attempt = 1).takes(line(0, "rolling "))
        val second = reader(attempt = 2)
        second.takes(line(0, "turn", attempt = 2))
        expectThat(second.take(line(4, "ing pin", attempt = 2))!!.error).isA<StageFailure.Diverged>()
        expectThat(text.toString()).isEqualTo("rolling ")
    }

    @Test
    fun `a second attempt that ends before the first one had come is not the same answer`() {
        reader(attempt = 1).takes(line(0, "rolling pin"))
        val second = reader(attempt = 2)
        second.takes(line(0, "rolling", attempt = 2))
        expectThat(second.take(end("rolling", attempt = 2))!!.error).isA<StageFailure.Diverged>()
    }

    @Test
    fun `an end whose digest does not fit fails the call`() {
        val reader = reader(attempt = 1)
        reader.takes(line(0, "rolling pan"))
        expectThat(reader.take(end("rolling pin"))!!.error).isA<StageFailure.Mismatched>()
    }

    private fun StreamReader.takes(vararg lines: StreamLine) = lines.forEach { expectThat(take(it)).isNull() }

    private fun StreamReader.take(line: StreamLine): Result<StageResult, StageFailure>? =
        runBlocking { takeLine(line) }

    private fun line(offset: Long, text: String, attempt: Int = 1) =
        StreamLine(RequestId("r"), "draft", attempt, offset, text)

    private fun end(whole: String, attempt: Int = 1): StreamLine {
        val bytes = whole.encodeToByteArray()
        val sha256 = MessageDigest.getInstance("SHA-256").digest(bytes).toHexString()
        return line(bytes.size.toLong(), "", attempt).copy(end = StreamEnd(bytes.size.toLong(), sha256))
    }

    private fun reader(attempt: Int): StreamReader {
        val call = StageCall(RequestId("r"), "draft", attempt, OrganisationId("o"), "in", "in", remainingMs = 4_000)
        return StreamReader(EndpointId("e"), call, text)
    }
}
