package io.oriolehall.standins

import io.oriolehall.model.WireJson
import kotlinx.serialization.Serializable

/**
 * The line that a stand-in prints on its standard output once it serves.
 *
 * @property address where it serves, `host:port`.
 * @property control where it is driven and asked for its counts, `host:port`.
 */
@Serializable
data class ReadyLine(val ready: Boolean = true, val id: String, val address: String, val control: String) {
    /** The line as JSON. */
    fun toJson(): String = WireJson.encodeToString(serializer(), this)
}
