package io.oriolehall.gateway.upstream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Reason why the value of a Retry-After header cannot be used. */
data class RetryAfterError(val text: String) {
    val message: String
        get() = "\"${text.take(MAX_SHOWN)}\" is not a number of seconds; the endpoint has to send one that is 0 or more"

    private companion object {
        const val MAX_SHOWN = 40
    }
}

/** Decodes the Retry-After header of an endpoint's answer, which is in seconds and may have a fraction. */
object RetryAfter {
    private const val MS_PER_SECOND = 1_000.0
    private val Pattern = Regex("\\d{1,15}(\\.\\d{1,9})?")

    /** Returns the time in milliseconds. */
    fun parseMs(text: String): Result<Long, RetryAfterError> {
        val trimmed = text.trim()
        if (!Pattern.matches(trimmed)) return Err(RetryAfterError(text))
        return Ok(Math.ceil(trimmed.toDouble() * MS_PER_SECOND).toLong())
    }
}
