package io.oriolehall.gateway.explain

/** Why a request cannot be explained. The message names the remedy. */
internal sealed interface ExplainError {
    val status: Int
    val message: String

    data class UnknownRoute(private val name: String, private val known: List<String>) : ExplainError {
        override val status get() = 404
        override val message: String
            get() {
                val shown = known.take(MAX_SHOWN_ROUTES).joinToString()
                val others = if (known.size > MAX_SHOWN_ROUTES) " and ${known.size - MAX_SHOWN_ROUTES} others" else ""
                return "route \"$name\" is not in the configuration; use the name of one of its routes: $shown$others"
            }
    }

    data class UnknownOrganisation(private val name: String) : ExplainError {
        override val status get() = 404
        override val message
            get() = "organisation \"$name\" is not in the configuration; use the name of one of its organisations"
    }

    /** A parameter of the query is missing or cannot be used. */
    data class InvalidParameter(override val message: String) : ExplainError {
        override val status get() = 400
    }

    private companion object {
        const val MAX_SHOWN_ROUTES = 20
    }
}
