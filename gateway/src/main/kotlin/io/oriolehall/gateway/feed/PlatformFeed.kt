package io.oriolehall.gateway.feed

import com.github.michaelbull.result.Result
import io.oriolehall.dispatch.config.ServingConfig
import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.endpoints.WithdrawnEndpoint
import io.oriolehall.dispatch.store.StorePosition
import io.oriolehall.model.EndpointId
import io.oriolehall.model.ZoneId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A decoded change to the state that the platform publishes. */
@Serializable
sealed interface PublishedChange {
    /** A configuration and the [era] and [revision] of its item. Configurations are ordered by their own version. */
    @Serializable
    data class ConfigPublished(
        val revision: Long,
        @Serializable(with = CompressedConfigSerializer::class) val config: ServingConfig,
        val era: Long = 0,
    ) : PublishedChange {
        val position: StorePosition get() = StorePosition(era, revision)
    }

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

/**
 * The complete published state at revision [asOf] of [era], as one instance passes it to another.
 *
 * @property withdrawn incarnations of endpoints whose registration was removed recently.
 * @property restored zones whose evacuation has ended recently.
 * @property lapsing those of [endpoints] that are removed unless they register again.
 */
@Serializable
data class FeedSnapshot(
    val asOf: Long,
    val configRevision: Long,
    @Serializable(with = CompressedConfigSerializer::class) val config: ServingConfig?,
    val endpoints: List<EndpointRecord>,
    val evacuated: List<ZoneId>,
    val era: Long = 0,
    val configEra: Long = 0,
    val withdrawn: List<WithdrawnEndpoint> = emptyList(),
    val restored: List<ZoneId> = emptyList(),
    val lapsing: List<LapsingEndpoint> = emptyList(),
) {
    val position: StorePosition get() = StorePosition(era, asOf)
}

/** An endpoint that is missing from the store, and the time that it has left to register again. */
@Serializable
data class LapsingEndpoint(val id: EndpointId, val remainingMs: Long)

/** What the operator has published, at position [asOf]; [config] is null if there is no usable configuration. */
data class OperatorState(
    val asOf: StorePosition,
    val config: PublishedChange.ConfigPublished?,
    val evacuated: List<ZoneId>,
)

/** All registrations of endpoints at position [asOf]. */
data class EndpointListing(val asOf: StorePosition, val endpoints: List<EndpointRecord>)

/** Changes up to position [asOf]. */
data class FeedChanges(val asOf: StorePosition, val changes: List<PublishedChange>)

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

    /** The store has been restored from an older copy; a full snapshot is needed. */
    data class Restored(override val message: String) : FeedFailure

    /** The platform answers, but a listing of its items makes no progress or is larger than an instance can hold. */
    data class UnusableListing(override val message: String) : FeedFailure

    /** The platform did not answer, or its answer cannot be used. */
    data class Unavailable(override val message: String) : FeedFailure
}

/** Read-only access to the platform's published state. */
interface PlatformFeed {
    /** Newest era that an answer of the store has named, whatever its status. */
    val era: Long get() = 0

    /** Number of calls to the store so far; each one is billed. */
    val calls: Long get() = 0

    /** Reads what the operator has published, which is at least as recent as the start of the call. */
    suspend fun operatorState(): Result<OperatorState, FeedFailure>

    /** Reads all endpoints; calls [betweenPages] after each page, because a listing may be long. */
    suspend fun endpoints(betweenPages: suspend () -> Unit): Result<EndpointListing, FeedFailure>

    /** Waits up to [waitMs] milliseconds for changes after the position [after]. */
    suspend fun changes(after: StorePosition, waitMs: Long): Result<FeedChanges, FeedFailure>
}
