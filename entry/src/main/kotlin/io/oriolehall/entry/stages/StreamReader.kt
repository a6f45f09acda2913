package io.oriolehall.entry.stages

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readUTF8Line
import io.oriolehall.model.EndpointId
import io.oriolehall.model.StageCall
import io.oriolehall.model.StageResult
import io.oriolehall.model.StreamEnd
import io.oriolehall.model.StreamLine
import io.oriolehall.model.WireJson
import java.security.MessageDigest
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Reads the stream of one call, over any number of connections, into [text]. Bytes that [text] already has from an
 * earlier attempt are compared with it by digest and not added again. Lines that came before and lines of earlier
 * attempts are dropped.
 */
internal class StreamReader(
    private val endpoint: EndpointId,
    private val call: StageCall,
    private val text: GeneratedText,
    private val onFirstLine: () -> Unit = {},
) {
    private val digest = MessageDigest.getInstance("SHA-256")

    /** Bytes of the stream read so far. */
    @Volatile
    var position: Long = 0
        private set

    /** When the last line came, or the reader was made. */
    @Volatile
    var lastLineAt: TimeMark = TimeSource.Monotonic.markNow()
        private set

    /** True once a line has come. */
    @Volatile
    var started: Boolean = false
        private set

    /** Reads [body] until the stream ends, or fails. */
    suspend fun read(body: ByteReadChannel): Result<StageResult, StageFailure> {
        while (true) {
            val line = body.readUTF8Line(MAX_LINE_LENGTH) ?: return Err(broken("no end mark"))
            takeLine(WireJson.decodeFromString(StreamLine.serializer(), line))?.let { return it }
        }
    }

    /** Takes the next [line]; the outcome, if it decides the call. */
    suspend fun takeLine(line: StreamLine): Result<StageResult, StageFailure>? {
        noteLine()
        val end = line.end
        return when {
            line.requestId != call.requestId || line.stage != call.stage || line.attempt > call.attempt ->
                Err(StageFailure.Mismatched("$endpoint streamed ${line.requestId}/${line.stage}"))

            line.attempt < call.attempt -> null

            line.offset > position -> Err(broken("next line at byte ${line.offset}"))

            end != null -> finish(end)

            else -> takeBytes(line.text.encodeToByteArray(), skip = position - line.offset)
        }
    }

    private fun noteLine() {
        lastLineAt = TimeSource.Monotonic.markNow()
        if (started) return
        started = true
        onFirstLine()
    }

    private fun broken(why: String) = StageFailure.Lost("$endpoint broke the stream off at byte $position: $why")

    private suspend fun takeBytes(bytes: ByteArray, skip: Long): Result<StageResult, StageFailure>? {
        if (skip >= bytes.size) return null
        val start = skip.toInt()
        val known = (text.length - position).coerceIn(0, (bytes.size - start).toLong()).toInt()
        if (known > 0) {
            digest.update(bytes, start, known)
            position += known
            if (position == text.length && !agrees()) return Err(diverged())
        }
        val fresh = start + known
        if (fresh < bytes.size) {
            digest.update(bytes, fresh, bytes.size - fresh)
            position += bytes.size - fresh
            text.append(bytes.decodeToString(fresh))
        }
        return null
    }

    private fun agrees() = digest.digestSoFar().contentEquals(text.sha256())

    private fun finish(end: StreamEnd): Result<StageResult, StageFailure> {
        if (position < text.length) return Err(diverged())
        val whole = end.length == position && end.sha256 == digest.digestSoFar().toHexString()
        if (!whole) return Err(StageFailure.Mismatched("$endpoint streamed $position of ${end.length} bytes"))
        return Ok(StageResult(call.requestId, call.stage, call.attempt, text.toString(), end.usage))
    }

    private fun diverged() = StageFailure.Diverged(
        "$endpoint generated another text than the ${text.length} bytes that were already sent; " +
            "the answer cannot be finished",
    )

    private companion object {
        const val MAX_LINE_LENGTH = 64 * 1024
    }
}
