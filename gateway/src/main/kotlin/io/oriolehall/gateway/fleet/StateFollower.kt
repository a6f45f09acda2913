package io.oriolehall.gateway.fleet

import io.oriolehall.dispatch.config.ClockReading
import io.oriolehall.dispatch.store.StorePosition
import io.oriolehall.gateway.feed.PublishedState
import io.oriolehall.gateway.feed.ReadingPace
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.peer.PeerClient
import io.oriolehall.policy.membership.Member
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService

/**
 * Keeps the published state of this instance up to date by following another instance that reads the platform, so that
 * the number of calls to the platform does not grow with the fleet. Also serves the instances that follow this one. All
 * state is confined to the control thread.
 *
 * @param incarnation incarnation of this instance.
 */
internal class StateFollower(
    private val incarnation: Incarnation,
    private val state: PublishedState,
    private val client: PeerClient,
    private val timers: TimerService,
    private val log: EventLog,
    private val pace: ReadingPace,
    private val confirmedAgoMs: () -> Long,
) {
    private var reader: InstanceId? = null
    private var readerIncarnation: Incarnation? = null
    private var position = 0L
    private var lastQueryAtMs = Long.MIN_VALUE / 2

    /** True while other instances follow this one. */
    val hasFollowers: Boolean get() = timers.nowMs() - lastQueryAtMs < FOLLOWER_TIMEOUT_MS

    /** Answers the query of a follower; null while this instance has no state, or the platform has not answered it. */
    suspend fun answer(query: FollowQuery): FollowAnswer? {
        val arrivedAtMs = timers.nowMs()
        lastQueryAtMs = arrivedAtMs
        val journal = state.journal
        if (query.incarnation ==
            incarnation
        ) {
            journal.awaitChange(query.position, query.waitMs.coerceIn(0, pace.maxWaitMs))
        }
        val asOf = state.sharedAsOf ?: return null
        val platformAnsweredAtMs = state.platformAnsweredAtMs ?: return null
        val config = state.configHolder.current ?: return null
        val changes = if (query.incarnation == incarnation) journal.changesAfter(query.position) else null
        val agoMs = confirmedAgoMs()
        return FollowAnswer(
            incarnation = incarnation,
            position = journal.position,
            asOf = asOf.revision,
            configRevision = config.revision,
            confirmedAgoMs = if (agoMs < 0) agoMs else maxOf(0, agoMs - (timers.nowMs() - arrivedAtMs)),
            platformAnsweredAgoMs = timers.nowMs() - platformAnsweredAtMs,
            changes = changes.orEmpty(),
            snapshot = if (changes == null) state.snapshot() else null,
            era = asOf.era,
            configVersion = config.stamp.version,
            configEra = config.stamp.position.era,
        )
    }

    /**
     * Waits for changes at [member] and applies them. Returns false if it does not answer, has had no answer from the
     * platform or no confirmation of its configuration for too long, or has an older state than this instance; this
     * instance then has to read the platform itself.
     */
    suspend fun follow(member: Member): Boolean {
        val sentAt = state.now()
        val known = readerIncarnation.takeIf { reader == member.id && !state.listingDue }
        val query = FollowQuery(known, position, pace.maxWaitMs)
        val answer = client.call(member.address, FleetChannels.FOLLOW, query, pace.maxWaitMs + ANSWER_MARGIN_MS)
        val failure = if (answer.isErr) answer.error.message else rejectionReason(answer.value)
        if (failure != null) {
            if (reader != null) log.write(Event.STATE_NOT_FOLLOWED, "reader" to member.id, "reason" to failure)
            reader = null
            return false
        }
        applyAnswer(member, answer.value, sentAt)
        return true
    }

    /** Returns why [answer] cannot be used, or null if it can. */
    private fun rejectionReason(answer: FollowAnswer): String? = when {
        answer.platformAnsweredAgoMs > pace.maxSilenceMs ->
            "the platform has not answered it for ${answer.platformAnsweredAgoMs} ms"

        answer.confirmedAgoMs < 0 -> "it suspends keys"

        answer.configVersion == NO_VERSION -> "it does not state the version of its configuration"

        answer.era < state.era -> "it knows era ${answer.era} of the store, this instance ${state.era}"

        answer.storePosition < (state.asOf ?: StorePosition.START) ->
            "it knows position ${answer.storePosition}, this instance ${state.asOf}"

        else -> null
    }

    private fun applyAnswer(member: Member, answer: FollowAnswer, sentAt: ClockReading) {
        val confirmedAt = sentAt.before(answer.confirmedAgoMs)
        state.learnEra(answer.era, "instance ${member.id}")
        val snapshot = answer.snapshot
        if (snapshot != null) {
            state.replace(snapshot, confirmedAt, storeUninterrupted = true, source = "instance ${member.id}")
        } else {
            state.applyFollowed(answer.changes, answer.storePosition, confirmedAt, source = "instance ${member.id}")
        }
        state.configHolder.confirm(answer.configStamp, confirmedAt)
        if (reader != member.id) {
            log.write(Event.STATE_FOLLOWED, "reader" to member.id, "asOf" to answer.storePosition)
        }
        reader = member.id
        readerIncarnation = answer.incarnation
        position = answer.position
    }

    private companion object {
        const val ANSWER_MARGIN_MS = 400L

        /** Longer than the time between two queries of a follower. */
        const val FOLLOWER_TIMEOUT_MS = 2_500L
    }
}
