package io.oriolehall.policy.membership

import io.oriolehall.model.Incarnation
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import kotlinx.serialization.Serializable

/** What instances say of an instance. Later constants go before earlier ones of the same epoch. */
@Serializable
enum class MemberState {
    /** It answers. */
    ALIVE,

    /** It did not answer; it still counts as live until it is declared dead or refutes the suspicion. */
    SUSPECT,

    /** It announced that it is leaving: it finishes what it has and owns nothing new. */
    LEAVING,

    /** It did not answer for the whole suspicion time. */
    DEAD,

    /** It stopped as planned. */
    LEFT,
}

/**
 * What is known of one instance, as instances pass it to each other.
 *
 * @property incarnation the process.
 * @property epoch number that only the instance itself raises, to refute what others say of it. It starts at the
 *   wall-clock time of the process's start, and above any epoch that others remember for the same name.
 */
@Serializable
data class MemberRecord(
    val instance: Instance,
    val incarnation: Incarnation,
    val epoch: Long,
    val state: MemberState = MemberState.ALIVE,
) {
    val id: InstanceId get() = instance.id

    /** True when this record is newer than [other] of the same instance. The order is total. */
    fun supersedes(other: MemberRecord): Boolean = PRECEDENCE.compare(this, other) > 0

    private companion object {
        val PRECEDENCE = compareBy(MemberRecord::epoch, MemberRecord::incarnation, MemberRecord::state)
    }
}
