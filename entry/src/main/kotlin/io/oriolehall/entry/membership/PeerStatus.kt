package io.oriolehall.entry.membership

import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.ZoneId
import io.oriolehall.policy.membership.MemberState
import kotlinx.serialization.Serializable

/**
 * Another instance as this one sees it, for operators.
 *
 * @property highestTicket highest ticket in force there as it last said; null when it has not said so to this instance.
 * @property sameConfiguration whether its configuration equals this instance's; null when not known.
 * @property heardMs milliseconds since it last spoke to this instance; null when it never did.
 * @property lag why its configuration may be behind; null when it is not.
 */
@Serializable
data class PeerStatus(
    val id: InstanceId,
    val zone: ZoneId,
    val state: MemberState,
    val incarnation: Incarnation,
    val highestTicket: Long? = null,
    val sameConfiguration: Boolean? = null,
    val heardMs: Long? = null,
    val skewMs: Long? = null,
    val lag: String? = null,
)
