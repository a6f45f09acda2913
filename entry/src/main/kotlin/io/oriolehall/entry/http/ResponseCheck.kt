package io.oriolehall.entry.http

import io.ktor.client.plugins.api.Send
import io.ktor.client.plugins.api.createClientPlugin
import io.ktor.http.cio.ParserException
import kotlinx.coroutines.cancel
import java.io.IOException

/** A response that is no HTTP response. Its request may have run, as after a connection that broke. */
class MalformedResponseException(message: String) : IOException(message)

/**
 * Makes a malformed response an [IOException] at every reader. The CIO engine throws unchecked exceptions of its parser
 * for some of them and passes on any number up to 999 as the status. It passes on 0200 as 200, which cannot be told
 * from a valid status here.
 */
val ResponseCheck = createClientPlugin("ResponseCheck") {
    on(Send) { request ->
        val call = try {
            proceed(request)
        } catch (e: ParserException) {
            throw MalformedResponseException("malformed response: ${e.message}")
        } catch (e: NumberFormatException) {
            throw MalformedResponseException("malformed response: ${e.message}")
        }
        val status = call.response.status.value
        if (status !in HTTP_STATUSES) {
            call.cancel()
            throw MalformedResponseException("malformed response: status $status is not from 100 to 599")
        }
        call
    }
}

private val HTTP_STATUSES = 100..599
