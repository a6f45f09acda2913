package io.oriolehall.standins.engine

import io.oriolehall.standins.compute.sha256Hex

/**
 * Prompt prefixes that an engine has computed, in blocks of [BLOCK_TOKENS] tokens, at most [capacityTokens] of them.
 * The block used longest ago goes first.
 *
 * @param onChange told of each block that is stored (true) or evicted (false), by the digest of its prefix.
 */
internal class PrefixCache(private val capacityTokens: Int, private val onChange: (Boolean, String) -> Unit) {
    private val blocks = LinkedHashMap<String, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Tokens of [prompt] that need not be computed again; afterwards the whole prompt is in the cache. */
    @Synchronized
    fun use(prompt: List<String>): Int {
        val digests = prefixDigests(prompt)
        val hits = digests.takeWhile { blocks[it] != null }.size
        digests.forEach(::store)
        return hits * BLOCK_TOKENS
    }

    private fun store(digest: String) {
        if (blocks.put(digest, Unit) == null) onChange(true, digest)
        while (blocks.size * BLOCK_TOKENS > capacityTokens) {
            val eldest = blocks.keys.first()
            blocks.remove(eldest)
            onChange(false, eldest)
        }
    }

    companion object {
        /** Tokens in a block; a shorter rest of a prompt is not cached. */
        const val BLOCK_TOKENS = 16
        private const val DIGEST_DIGITS = 16
        private const val INITIAL_CAPACITY = 64
        private const val LOAD_FACTOR = 0.75f

        /** Digests of the prefixes of [prompt] that end at a block's end, shortest first. */
        fun prefixDigests(prompt: List<String>): List<String> {
            var before = ""
            return prompt.chunked(BLOCK_TOKENS).filter { it.size == BLOCK_TOKENS }.map { block ->
                before = sha256Hex(before + block.joinToString(" ")).take(DIGEST_DIGITS)
                before
            }
        }
    }
}
