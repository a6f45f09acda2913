package io.oriolehall.policy.membership

import io.oriolehall.model.InstanceId
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Rendezvous hashing (highest random weight): all who know the same candidates choose alike, and few choices move. */
object Rendezvous {
    /** Candidates for [subject], best first. */
    fun ranked(subject: String, candidates: Collection<InstanceId>): List<InstanceId> =
        candidates.sortedByDescending { weight(subject, it) }

    /** The candidate for [subject], or null when there is none. */
    fun owner(subject: String, candidates: Collection<InstanceId>): InstanceId? =
        candidates.maxByOrNull { weight(subject, it) }

    private fun weight(subject: String, candidate: InstanceId): Long {
        val hash = MessageDigest.getInstance("SHA-256").digest("$subject ${candidate.value}".encodeToByteArray())
        return ByteBuffer.wrap(hash).long
    }
}
