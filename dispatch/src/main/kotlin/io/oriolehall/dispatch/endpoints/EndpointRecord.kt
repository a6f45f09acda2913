package io.oriolehall.dispatch.endpoints

import io.oriolehall.model.EndpointId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId
import kotlinx.serialization.Serializable

/**
 * An endpoint as it registered itself.
 *
 * @property bornAtMs start of its process, milliseconds since the epoch; another start under the same name differs.
 * @property draining true when it has announced that it will stop.
 * @property coldForMs how much longer it stays cold, milliseconds from when the entry was written.
 */
@Serializable
data class EndpointRecord(
    val id: EndpointId,
    val bornAtMs: Long,
    val service: String,
    val address: NetworkAddress,
    val zone: ZoneId,
    val slots: Int,
    val draining: Boolean,
    val coldForMs: Long,
) {
    /** One life of the endpoint. */
    val life: EndpointLife get() = EndpointLife(id, bornAtMs)
}

/** Name of an endpoint and the start of its process: state about one life says nothing about the next. */
@Serializable
data class EndpointLife(val id: EndpointId, val bornAtMs: Long)
