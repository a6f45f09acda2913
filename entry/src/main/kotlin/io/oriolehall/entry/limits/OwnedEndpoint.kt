package io.oriolehall.entry.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import kotlinx.serialization.Serializable

/**
 * What the owner of an endpoint's limit says of it to operators.
 *
 * @property limit calls at once that the endpoint is given now, over all instances.
 * @property committed credits out and calls that may still run.
 * @property coldCause why the limit last fell to the cold limit.
 */
@Serializable
data class OwnedEndpoint(
    val endpoint: EndpointId,
    val limit: Int,
    val committed: Int,
    val followers: Set<InstanceId>,
    val known: Set<InstanceId>,
    val coldCause: String,
)
