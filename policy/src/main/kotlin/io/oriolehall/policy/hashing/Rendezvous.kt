package io.oriolehall.policy.hashing

import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import java.util.SplittableRandom
import java.util.zip.CRC32C

/**
 * Rendezvous hashing (highest random weight). All processes with the same candidates make the same choice, and when a
 * candidate is removed, only the subjects assigned to it move.
 */
object Rendezvous {
    /** [candidates] for [subject], highest weight first. */
    fun rankedInstances(subject: String, candidates: Collection<InstanceId>): List<InstanceId> {
        val weights = candidates.associateWith { weight(subject, it.value) }
        val byWeight = compareByDescending<InstanceId> { weights.getValue(it) }
        return candidates.sortedWith(byWeight.thenBy { it })
    }

    /** [endpoints] sorted by the weight that [candidate] has for each of them, highest first. */
    fun rankedEndpoints(candidate: InstanceId, endpoints: Collection<EndpointId>): List<EndpointId> {
        val weights = endpoints.associateWith { weight(it.value, candidate.value) }
        val byWeight = compareByDescending<EndpointId> { weights.getValue(it) }
        return endpoints.sortedWith(byWeight.thenBy { it.value })
    }

    /** The highest-ranked candidate for [endpoint], or null if there are no candidates. */
    fun owner(endpoint: EndpointId, candidates: Collection<InstanceId>): InstanceId? =
        rankedInstances(endpoint.value, candidates).firstOrNull()

    /**
     * Weight of [candidate] for [subject]. The random generator decorrelates the checksums of texts that differ only
     * slightly.
     */
    fun weight(subject: String, candidate: String): Long {
        val checksum = CRC32C()
        checksum.update("$subject\u0000$candidate".encodeToByteArray())
        return SplittableRandom(checksum.value).nextLong()
    }
}
