package io.oriolehall.policy.hashing

import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import java.util.SplittableRandom
import java.util.zip.CRC32C

/**
 * Rendezvous hashing (highest random weight): all who know the same candidates choose alike, and when a candidate
 * leaves, only its own subjects move.
 */
object Rendezvous {
    /** Candidates for [subject], best first. */
    fun ranked(subject: String, candidates: Collection<InstanceId>): List<InstanceId> {
        val byWeight = compareByDescending<InstanceId> { weight(subject, it.value) }
        return candidates.sortedWith(byWeight.thenBy { it })
    }

    /** The candidate for [endpoint], or null when there is none. */
    fun owner(endpoint: EndpointId, candidates: Collection<InstanceId>): InstanceId? =
        ranked(endpoint.value, candidates).firstOrNull()

    /** Weight of [candidate] for [subject]. The generator spreads the checksums of texts that differ little. */
    fun weight(subject: String, candidate: String): Long {
        val checksum = CRC32C()
        checksum.update("$subject\u0000$candidate".encodeToByteArray())
        return SplittableRandom(checksum.value).nextLong()
    }
}
