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

    /** Hash of [text], for repeated comparisons by the other form of [weight]. */
    fun hash(text: String): Long = weight(text, "")

    /**
     * Weight of a candidate for a subject, both given by their [hash], cheap enough for every request to weigh all
     * endpoints. It differs from the weight of the texts.
     */
    fun weight(subjectHash: Long, candidateHash: Long): Long {
        var mixed = subjectHash + candidateHash * GOLDEN_GAMMA
        mixed = (mixed xor (mixed ushr FIRST_SHIFT)) * FIRST_FACTOR
        mixed = (mixed xor (mixed ushr SECOND_SHIFT)) * SECOND_FACTOR
        return mixed xor (mixed ushr LAST_SHIFT)
    }

    /** Constants of the SplitMix64 generator, whose output function mixes every input bit into every output bit. */
    private const val GOLDEN_GAMMA = -0x61c8864680b583ebL
    private const val FIRST_FACTOR = -0x40a7b892e31b1a47L
    private const val SECOND_FACTOR = -0x6b2fb644ecceee15L
    private const val FIRST_SHIFT = 30
    private const val SECOND_SHIFT = 27
    private const val LAST_SHIFT = 31
}
