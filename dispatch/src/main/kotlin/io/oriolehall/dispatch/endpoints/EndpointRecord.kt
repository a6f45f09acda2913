package io.oriolehall.dispatch.endpoints

import io.oriolehall.model.EndpointId
import io.oriolehall.model.FieldText
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The registration of an endpoint.
 *
 * @property startedAtMs start of its process, milliseconds since the epoch; differs after a restart under the same id.
 * @property draining true when it has announced that it will stop.
 * @property coldRemainingMs time that it stays cold, counted from its registration, milliseconds.
 * @property sequence number of this write among those of its incarnation, which may reach the store in another order;
 *   null if it is not known, so that the order of arrival counts.
 */
@Serializable
data class EndpointRecord(
    val id: EndpointId,
    @SerialName("bornAtMs")
    val startedAtMs: Long,
    val service: String,
    val address: NetworkAddress,
    val zone: ZoneId,
    val slots: Int,
    val draining: Boolean,
    @SerialName("coldForMs")
    val coldRemainingMs: Long,
    @SerialName("seq")
    val sequence: Long? = null,
) {
    init {
        require(FieldText.isSendable(id.value)) {
            "the id of an endpoint is sent in a header field; remove control characters and outer spaces from \"$id\""
        }
    }

    /** Identifies this incarnation of the endpoint. */
    val incarnation: EndpointIncarnation get() = EndpointIncarnation(id, startedAtMs)

    /** True if both were written by the same incarnation, and this one before [other]. */
    fun wasWrittenBefore(other: EndpointRecord): Boolean =
        incarnation == other.incarnation && sequence != null && other.sequence != null && sequence < other.sequence

    /** True if the two differ at most in [sequence], which changes with each heartbeat. */
    fun sameContentAs(other: EndpointRecord?): Boolean =
        this === other || (other != null && this == other.copy(sequence = sequence))
}

/** Id of an endpoint and the start of its process. State about one incarnation does not apply to the next. */
@Serializable
data class EndpointIncarnation(val id: EndpointId, @SerialName("bornAtMs") val startedAtMs: Long)
