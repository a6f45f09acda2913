package io.oriolehall.policy.membership

/**
 * Settings of the failure detector. An instance that pauses for less than [suspicionMs] is not declared dead.
 *
 * @property probePeriodMs time between two rounds of probes, milliseconds.
 * @property probeTimeoutMs timeout of a probe, milliseconds.
 * @property suspicionMs time in which a suspect can refute the suspicion before it is declared dead, milliseconds.
 * @property pauseThresholdMs time between two rounds above which a process considers itself to have been paused,
 *   milliseconds.
 * @property linksPerZone number of instances that an instance probes in each other zone.
 * @property helpers number of instances that are asked for an indirect probe when a direct probe fails.
 * @property updatesPerMessage maximum number of pending updates in one message.
 * @property endedRetentionMs time after which the record of a dead or stopped instance is removed, milliseconds.
 */
data class MembershipSettings(
    val probePeriodMs: Long = 1_000,
    val probeTimeoutMs: Long = 700,
    val suspicionMs: Long = 3_000,
    val pauseThresholdMs: Long = 2_500,
    val linksPerZone: Int = 2,
    val helpers: Int = 2,
    val updatesPerMessage: Int = 8,
    val endedRetentionMs: Long = 3_600_000,
)
