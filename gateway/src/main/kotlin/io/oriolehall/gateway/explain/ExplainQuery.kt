package io.oriolehall.gateway.explain

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.QueryStringDecoder
import io.oriolehall.model.FieldText

/**
 * The request to explain, as the query of `GET /explain` describes it.
 *
 * @property route name of its route.
 * @property organisation name of its organisation; null for a request without an API key.
 * @property promptParts value of the header that names the parts of its prompt.
 * @property pieces value of the header that names the number of pieces of each stage.
 */
internal data class ExplainQuery(
    val route: String,
    val organisation: String?,
    val promptParts: String?,
    val pieces: String?,
) {
    companion object {
        const val PATH = "/explain"

        /** Reads the query of [uri], a request target. */
        fun parse(uri: String): Result<ExplainQuery, ExplainError> {
            val parameters = try {
                QueryStringDecoder(uri).parameters().mapValues { (_, values) -> values.last() }
            } catch (e: IllegalArgumentException) {
                return Err(
                    ExplainError.InvalidParameter("the query cannot be decoded; escape it as in URLs: ${e.message}"),
                )
            }
            val unsendable = parameters.filterValues { it.isNotEmpty() && !FieldText.isSendable(it) }.keys.firstOrNull()
            if (unsendable != null) {
                val reason = "parameter $unsendable cannot be sent in a header field"
                return Err(ExplainError.InvalidParameter("$reason; remove control characters and outer spaces"))
            }
            val route = parameters["route"]?.takeIf(String::isNotEmpty)
                ?: return Err(ExplainError.InvalidParameter("parameter route is missing; add the name of a route"))
            return Ok(ExplainQuery(route, parameters["organisation"], parameters["prompt-parts"], parameters["pieces"]))
        }
    }
}
