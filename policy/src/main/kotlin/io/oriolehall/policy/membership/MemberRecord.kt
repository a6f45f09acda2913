package io.oriolehall.policy.membership

import io.oriolehall.model.Incarnation
import io.oriolehall.model.Instance
import io.oriolehall.model.InstanceId
import kotlinx.serialization.Serializable

/** State of an instance as reported to others. Within an epoch, later constants supersede earlier ones. */
@Serializable
enum class MemberState {
    /** The instance answers probes. */
    ALIVE,

    /** The instance did not answer. It counts as live until it is declared dead or refutes the suspicion. */
    SUSPECT,

    /** The instance announced its shutdown. It finishes its current work and takes no new ownership. */
    LEAVING,

    /** The instance did not answer during the whole suspicion time. */
    DEAD,

    /** The instance shut down as planned. */
    LEFT,
}

/**
 * The record of one instance that instances gossip to each other.
 *
 * @property incarnation identifies the process that runs under the ID of the instance.
 * @property epoch version number that only the instance itself increases, to refute reports about it. It starts at the
 *   wall-clock time at which the process started, and above any epoch that others have recorded for the same ID.
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
