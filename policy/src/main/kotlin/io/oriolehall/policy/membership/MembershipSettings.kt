package io.oriolehall.policy.membership

/**
 * Times and counts of the failure detector. A pause shorter than [suspicionMs] kills nobody.
 *
 * @property probePeriodMs time between two rounds of probes, milliseconds.
 * @property probeTimeoutMs wait for the answer to a probe, milliseconds.
 * @property suspicionMs time a suspect has to refute before it is declared dead, milliseconds.
 * @property pauseMs time between two rounds that tells a process that it was paused, milliseconds.
 * @property linksPerZone instances of each other zone that an instance probes.
 * @property helpers instances that are asked to probe for this one when its own probe fails.
 * @property updatesPerMessage most records in one message.
 * @property forgetMs time after which a dead or departed instance is forgotten, milliseconds.
 */
data class MembershipSettings(
    val probePeriodMs: Long = 1_000,
    val probeTimeoutMs: Long = 700,
    val suspicionMs: Long = 3_000,
    val pauseMs: Long = 2_500,
    val linksPerZone: Int = 2,
    val helpers: Int = 2,
    val updatesPerMessage: Int = 8,
    val forgetMs: Long = 3_600_000,
)
