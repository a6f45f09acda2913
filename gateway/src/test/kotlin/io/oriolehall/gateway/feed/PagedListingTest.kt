package io.oriolehall.gateway.feed

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo

class PagedListingTest {
    private val asked = mutableListOf<String?>()

    /** A listing whose page number n holds the item n and ends with the key n. */
    private fun read(
        listing: PagedListing = PagedListing(),
        page: (Int) -> ListingPage<Int>,
    ): Result<Listing<Int>, FeedFailure> = runBlocking {
        listing.read { after ->
            asked += after
            Ok(page(asked.size))
        }
    }

    private fun page(number: Int, truncated: Boolean = true, key: String? = "$number") =
        ListingPage(listOf(number), key, truncated, asOf = number.toLong(), sizeChars = 100)

    @Test
    fun `pages are read until one is not truncated, and the first tells the revision`() {
        val listing = read { page(it, truncated = it < 3) }.value
        expectThat(listing.items).containsExactly(1, 2, 3)
        expectThat(listing.asOf).isEqualTo(1)
        expectThat(asked).containsExactly(null, "1", "2")
    }

    /** Guards against review case 3: pages that are repeated in turn were read for ever and kept. */
    @Test
    fun `pages that are repeated in turn end the listing`() {
        expectThat(read { page(it, key = "${it % 3}") }.error).isA<FeedFailure.UnusableListing>()
        expectThat(asked.size).isEqualTo(4)
    }

    @Test
    fun `a listing without end is given up at the bounds`() {
        expectThat(read(PagedListing(maxPages = 5)) { page(it) }.error).isA<FeedFailure.UnusableListing>()
        expectThat(asked.size).isEqualTo(5)
        asked.clear()
        expectThat(read(PagedListing(maxChars = 250)) { page(it) }.error).isA<FeedFailure.UnusableListing>()
        expectThat(asked.size).isEqualTo(3)
    }

    @Test
    fun `an empty page that others follow is an error`() {
        expectThat(read { page(it, key = null) }.error).isA<FeedFailure.UnusableListing>()
    }

    @Test
    fun `a page that fails ends the listing`() {
        val failure = FeedFailure.Unavailable("no answer")
        val listing = runBlocking { PagedListing().read<Int> { Err(failure) } }
        expectThat(listing.error).isEqualTo(failure)
    }
}
