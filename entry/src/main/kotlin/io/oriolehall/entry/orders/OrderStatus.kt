package io.oriolehall.entry.orders

import io.oriolehall.model.EndpointId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How far the orderer of an engine is. */
@Serializable
enum class OrderPhase {
    @SerialName("in-force")
    IN_FORCE,

    @SerialName("unreachable")
    UNREACHABLE,

    /** The engine carries out an order that this instance did not wait for. */
    @SerialName("busy")
    BUSY,

    /** The engine has obeyed a higher ticket than this instance knows. */
    @SerialName("behind")
    BEHIND,

    @SerialName("waits-for-permit")
    WAITS_FOR_PERMIT,

    @SerialName("draining")
    DRAINING,

    @SerialName("sent")
    SENT,

    @SerialName("settling")
    SETTLING,
}

/**
 * What the orderer of an engine says of it to operators.
 *
 * @property ticket number of the ticket that assigned [wanted].
 * @property serving what the engine last reported.
 */
@Serializable
data class OrderStatus(
    val endpoint: EndpointId,
    val ticket: Long,
    val wanted: String,
    val serving: String? = null,
    val phase: OrderPhase,
)
