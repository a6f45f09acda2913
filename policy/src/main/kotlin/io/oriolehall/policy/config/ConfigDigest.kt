package io.oriolehall.policy.config

import io.oriolehall.model.ObjectKey
import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Digests of a configuration, updated incrementally with each changed object. Instances compare [combined] first. If it
 * differs, they compare [buckets] and exchange only the objects in the buckets that differ.
 */
data class ConfigDigest(val buckets: List<Long> = List(BUCKETS) { 0L }) {
    /** Digest of the whole configuration; 0 when it is empty. */
    val combined: Long = buckets.fold(0L) { sum, bucket -> sum * HASH_MULTIPLIER + bucket }

    /** The digest after the object of [key] changed from [before], or from absent if null, to [after]. */
    fun withChange(key: ObjectKey, before: VersionedObject?, after: VersionedObject): ConfigDigest {
        val index = bucketOf(key)
        val change = hashOf(key, after) - (before?.let { hashOf(key, it) } ?: 0)
        return ConfigDigest(buckets.toMutableList().also { it[index] += change })
    }

    /** Indices of the buckets that differ from [other], the buckets of a peer. */
    fun differingBuckets(other: List<Long>): Set<Int> =
        buckets.indices.filter { buckets[it] != other.getOrNull(it) }.toSet()

    companion object {
        /** Number of buckets. With a few thousand objects, each bucket that differs transfers about ten. */
        const val BUCKETS = 256
        private const val HASH_MULTIPLIER = 1_000_003L

        /** Index of the bucket that contains the object of [key]. */
        fun bucketOf(key: ObjectKey): Int = Math.floorMod(sha256Prefix(key.toString()), BUCKETS.toLong()).toInt()

        private fun hashOf(key: ObjectKey, version: VersionedObject): Long =
            sha256Prefix("$key ${version.ticket} ${version.revision} ${version.digest}")

        /** First eight bytes of the SHA-256 hash of [text]. */
        private fun sha256Prefix(text: String): Long =
            ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())).long
    }
}
