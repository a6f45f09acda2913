package io.oriolehall.entry

import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId
import kotlinx.serialization.Serializable

/**
 * What an instance says of itself.
 *
 * @property highestTicket highest ticket number in force here; 0 before the first.
 * @property unfinishedRequests requests that still run here.
 * @property vouchesForNewKeys false while it has run for too short a time to witness keys that are made now.
 */
@Serializable
data class InstanceStatus(
    val id: InstanceId,
    val zone: ZoneId,
    val incarnation: Incarnation,
    val ready: Boolean,
    val highestTicket: Long,
    val unfinishedRequests: Int,
    val vouchesForNewKeys: Boolean = true,
)
