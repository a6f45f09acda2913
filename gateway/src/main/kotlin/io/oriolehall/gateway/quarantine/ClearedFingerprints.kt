package io.oriolehall.gateway.quarantine

import io.oriolehall.policy.quarantine.Fingerprint

/**
 * Fingerprints against which losses are no longer held.
 *
 * @property begun endpoints have begun to answer them; clears losses before an answer had begun.
 * @property completed endpoints have answered them to the end; clears all losses.
 */
internal data class ClearedFingerprints(
    val begun: List<Fingerprint> = emptyList(),
    val completed: List<Fingerprint> = emptyList(),
) {
    val isEmpty: Boolean get() = begun.isEmpty() && completed.isEmpty()

    operator fun plus(other: ClearedFingerprints) =
        ClearedFingerprints((begun + other.begun).distinct(), (completed + other.completed).distinct())
}
