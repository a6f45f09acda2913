package io.oriolehall.gateway.feed

import com.github.michaelbull.result.Result
import io.oriolehall.dispatch.config.ServingConfig
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.model.EndpointId
import io.oriolehall.model.ZoneId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A decoded change to the state that the platform publishes. */
@Serializable
sealed interface PublishedChange {
    /** A new configuration. Configurations are ordered by [revision]. */
    @Serializable
    data class ConfigPublished(
        val revision: Long,
        @Serializable(with = CompressedConfigSerializer::class) val config: ServingConfig,
    ) : PublishedChange

    @Serializable
    data class EndpointRegistered(val record: EndpointRecord) : PublishedChange

    @Serializable
    data class EndpointWithdrawn(val id: EndpointId) : PublishedChange

    @Serializable
    data class ZoneEvacuated(val zone: ZoneId) : PublishedChange

    @Serializable
    data class ZoneRestored(val zone: ZoneId) : PublishedChange

    /** An item that cannot be decoded, because of [reason]. Its [endpoint], if it names one, is not used. */
    @Serializable
    data class Unreadable(
        val key: String,
        val reason: String,
        @SerialName("e") val endpoint: EndpointId? = null,
    ) : PublishedChange
}

/** The complete published state at revision [asOf]. */
@Serializable
data class FeedSnapshot(
    val asOf: Long,
    val configRevision: Long,
    @Serializable(with = CompressedConfigSerializer::class) val config: ServingConfig?,
    val endpoints: List<EndpointRecord>,
    val evacuated: List<ZoneId>,
)

/** Changes up to revision [asOf]. */
data class FeedChanges(val asOf: Long, val changes: List<PublishedChange>)

/** The reason why a call to the feed failed. */
sealed interface FeedFailure {
    val message: String

    /** The store no longer has the changes after the requested revision; a full snapshot is needed. */
    data class HistoryGone(override val message: String) : FeedFailure

    /**
     * The answer was longer than this instance reads. If it held changes, a full snapshot is needed, which is read in
     * pages.
     */
    data class TooLong(override val message: String) : FeedFailure

    /** The platform answers, but a listing of its items makes no progress or is larger than an instance can hold. */
    data class UnusableListing(override val message: String) : FeedFailure

    /** The platform did not answer, or its answer cannot be used. */
    data class Unavailable(override val message: String) : FeedFailure
}

/** Read-only access to the platform's published state. */
interface PlatformFeed {
    /** Reads the complete state, which is at least as recent as the start of the call. */
    suspend fun snapshot(): Result<FeedSnapshot, FeedFailure>

    /** Waits up to [waitMs] milliseconds for changes after [revision]. */
    suspend fun changes(revision: Long, waitMs: Long): Result<FeedChanges, FeedFailure>
}
