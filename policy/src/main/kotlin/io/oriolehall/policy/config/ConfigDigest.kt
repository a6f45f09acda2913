package io.oriolehall.policy.config

import io.oriolehall.model.ObjectKey
import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Digests of a configuration, kept up to date object by object. Instances compare [whole]; where it differs they
 * compare [buckets] and exchange only the objects of those that differ.
 */
data class ConfigDigest(val buckets: List<Long> = List(BUCKETS) { 0L }) {
    /** Digest of the whole configuration; 0 when it is empty. */
    val whole: Long = buckets.fold(0L) { sum, bucket -> sum * MIX + bucket }

    /** The digest after [before], if any, was replaced by [after]. */
    fun replacing(key: ObjectKey, before: VersionedObject?, after: VersionedObject): ConfigDigest {
        val index = bucketOf(key)
        val change = hashOf(key, after) - (before?.let { hashOf(key, it) } ?: 0)
        return ConfigDigest(buckets.toMutableList().also { it[index] += change })
    }

    /** Buckets in which the other side holds something else. */
    fun differing(other: List<Long>): Set<Int> = buckets.indices.filter { buckets[it] != other.getOrNull(it) }.toSet()

    companion object {
        /** Number of buckets: with some thousands of objects, a change makes about ten of them travel. */
        const val BUCKETS = 256
        private const val MIX = 1_000_003L

        /** Bucket that holds the object of [key]. */
        fun bucketOf(key: ObjectKey): Int = Math.floorMod(sha256(key.toString()), BUCKETS.toLong()).toInt()

        private fun hashOf(key: ObjectKey, version: VersionedObject): Long =
            sha256("$key ${version.ticket} ${version.revision} ${version.digest}")

        private fun sha256(text: String): Long =
            ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())).long
    }
}
