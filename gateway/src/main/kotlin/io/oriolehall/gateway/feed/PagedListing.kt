package io.oriolehall.gateway.feed

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/**
 * A page of a listing.
 *
 * @property items what is kept of its items.
 * @property lastKey key of its last item, after which the next page begins; null if the page is empty.
 * @property truncated true if items follow this page.
 * @property asOf revision of the platform when it answered.
 * @property sizeChars length of the answer that held the page, in characters.
 */
data class ListingPage<T>(
    val items: List<T>,
    val lastKey: String?,
    val truncated: Boolean,
    val asOf: Long,
    val sizeChars: Int,
)

/** All items of a listing; [asOf] is the revision of its first page. */
data class Listing<T>(val items: List<T>, val asOf: Long)

/**
 * Reads a listing page by page, in bounded time and memory: a platform that repeats a page, or that lists more than an
 * instance can hold, yields a [FeedFailure.UnusableListing]. Pages are not a consistent snapshot: changes that are made
 * between two of them are delivered by a watch after [Listing.asOf].
 */
class PagedListing(private val maxPages: Int = MAX_PAGES, private val maxChars: Long = MAX_CHARS) {
    /** Reads all pages with [readPage], which gets the key after which a page begins; null for the first one. */
    suspend fun <T> read(
        readPage: suspend (after: String?) -> Result<ListingPage<T>, FeedFailure>,
    ): Result<Listing<T>, FeedFailure> {
        val items = mutableListOf<T>()
        val lastKeys = LinkedHashSet<String>()
        var firstAsOf: Long? = null
        var chars = 0L
        var after: String? = null
        while (true) {
            val answer = readPage(after)
            if (answer.isErr) return Err(answer.error)
            val page = answer.value
            items += page.items
            chars += page.sizeChars
            val asOf = firstAsOf ?: page.asOf.also { firstAsOf = it }
            if (!page.truncated) return Ok(Listing(items, asOf))
            val key = page.lastKey ?: return unusable("a page is empty although items follow it; check the platform")
            if (!lastKeys.add(key)) {
                return unusable("the page that ends with key \"$key\" is repeated; remove the items around this key")
            }
            if (lastKeys.size >= maxPages || chars >= maxChars) {
                return unusable(
                    "it goes on after ${lastKeys.size} pages and $chars characters; remove items that are not used",
                )
            }
            after = key
        }
    }

    private fun unusable(reason: String) = Err(FeedFailure.UnusableListing("the listing cannot be read: $reason"))

    private companion object {
        const val MAX_PAGES = 400
        const val MAX_CHARS = 33_554_432L
    }
}
