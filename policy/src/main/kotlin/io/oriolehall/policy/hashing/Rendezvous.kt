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
        val weights = candidates.associateWith { weight(subject, it.value) }
        val byWeight = compareByDescending<InstanceId> { weights.getValue(it) }
        return candidates.sortedWith(byWeight.thenBy { it })
    }

    /** [endpoints] in the order in which [candidate] prefers them: those come first for which it ranks high. */
    fun preferred(candidate: InstanceId, endpoints: Collection<EndpointId>): List<EndpointId> {
        val weights = endpoints.associateWith { weight(it.value, candidate.value) }
        val byWeight = compareByDescending<EndpointId> { weights.getValue(it) }
        return endpoints.sortedWith(byWeight.thenBy { it.value })
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
