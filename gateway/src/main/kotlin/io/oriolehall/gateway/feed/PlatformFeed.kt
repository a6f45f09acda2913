package io.oriolehall.gateway.feed

import com.github.michaelbull.result.Result
import io.oriolehall.dispatch.config.ServingConfig
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.model.EndpointId
import io.oriolehall.model.ZoneId
import kotlinx.serialization.Serializable

/** One item that the platform publishes, decoded. */
@Serializable
sealed interface PublishedChange {
    /** The newest configuration. [revision] orders configurations. */
    @Serializable
    data class ConfigPublished(val revision: Long, val config: ServingConfig) : PublishedChange

    @Serializable
    data class EndpointRegistered(val record: EndpointRecord) : PublishedChange

    @Serializable
    data class EndpointWithdrawn(val id: EndpointId) : PublishedChange

    @Serializable
    data class ZoneEvacuated(val zone: ZoneId) : PublishedChange

    @Serializable
    data class ZoneRestored(val zone: ZoneId) : PublishedChange

    /** An item that cannot be used. [reason] says why; an endpoint of that name is not used either. */
    @Serializable
    data class Unreadable(val key: String, val reason: String) : PublishedChange
}

/** Everything that is published, as of a revision. */
@Serializable
data class FeedSnapshot(
    val asOf: Long,
    val configRevision: Long,
    val config: ServingConfig?,
    val endpoints: List<EndpointRecord>,
    val evacuated: List<ZoneId>,
)

/** What has changed up to [asOf]. */
data class FeedChanges(val asOf: Long, val changes: List<PublishedChange>)

/** Why the feed gave no answer. */
sealed interface FeedFailure {
    val message: String

    /** The changes after the asked revision are no longer there: read everything. */
    data class HistoryGone(override val message: String) : FeedFailure

    /** No answer, or one that says nothing. */
    data class Unavailable(override val message: String) : FeedFailure
}

/** The platform's published state. It can only be read. */
interface PlatformFeed {
    /** Reads everything. The answer is at least as new as the call. */
    suspend fun snapshot(): Result<FeedSnapshot, FeedFailure>

    /** Waits at most [waitMs] for changes after [revision]. */
    suspend fun changes(revision: Long, waitMs: Long): Result<FeedChanges, FeedFailure>
}
