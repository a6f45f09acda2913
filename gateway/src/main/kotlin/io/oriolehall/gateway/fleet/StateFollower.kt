package io.oriolehall.gateway.fleet

import io.oriolehall.dispatch.config.Moment
import io.oriolehall.gateway.feed.PublishedState
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.peer.PeerClient
import io.oriolehall.policy.membership.Member
import io.oriolehall.runtime.Event
import io.oriolehall.runtime.EventLog
import io.oriolehall.runtime.TimerService

/**
 * Keeps the published state of this instance up to date from another one that reads the platform, so that the calls to
 * the platform do not grow with the fleet. All state belongs to the control thread.
 *
 * @param life the process that this instance is.
 */
internal class StateFollower(
    private val life: Incarnation,
    private val state: PublishedState,
    private val client: PeerClient,
    private val timers: TimerService,
    private val log: EventLog,
    private val confirmedAgoMs: () -> Long,
) {
    private var reader: InstanceId? = null
    private var readerLife: Incarnation? = null
    private var position = 0L
    private var askedAtMs = Long.MIN_VALUE / 2

    /** True while other instances follow this one. */
    val followed: Boolean get() = timers.nowMs() - askedAtMs < FOLLOWED_MS

    /** Answers an instance that follows this one; null while there is nothing to follow. */
    suspend fun answer(query: FollowQuery): FollowAnswer? {
        val arrivedAtMs = timers.nowMs()
        askedAtMs = arrivedAtMs
        val journal = state.journal
        if (query.life == life) journal.awaitAfter(query.position, query.waitMs.coerceIn(0, WAIT_MS))
        val asOf = state.asOf ?: return null
        val heardAtMs = state.heardAtMs ?: return null
        val trusted = state.trust.current ?: return null
        val changes = if (query.life == life) journal.after(query.position) else null
        val agoMs = confirmedAgoMs()
        return FollowAnswer(
            life = life,
            position = journal.position,
            asOf = asOf,
            configRevision = trusted.revision,
            confirmedAgoMs = if (agoMs < 0) agoMs else maxOf(0, agoMs - (timers.nowMs() - arrivedAtMs)),
            heardAgoMs = timers.nowMs() - heardAtMs,
            changes = changes.orEmpty(),
            snapshot = if (changes == null) state.snapshot() else null,
        )
    }

    /**
     * Takes in what [member] knows, as soon as something changes there. False when it does not answer, has heard
     * nothing of the platform for long, or knows less than this instance, which has to read the platform then.
     */
    suspend fun follow(member: Member): Boolean {
        val sentAt = state.now()
        val query = FollowQuery(readerLife.takeIf { reader == member.id }, position, WAIT_MS)
        val answer = client.call(member.address, FleetChannels.FOLLOW, query, WAIT_MS + ANSWER_MS)
        val failure = if (answer.isErr) answer.error.message else unusable(answer.value)
        if (failure != null) {
            if (reader != null) log.write(Event.STATE_NOT_FOLLOWED, "reader" to member.id, "reason" to failure)
            reader = null
            return false
        }
        takeIn(member, answer.value, sentAt)
        return true
    }

    /** Why [news] cannot be used; null when it can. */
    private fun unusable(news: FollowAnswer): String? = when {
        news.heardAgoMs > MAX_HEARD_AGO_MS -> "the platform has not answered it for ${news.heardAgoMs} ms"
        news.confirmedAgoMs < 0 -> "it suspends keys"
        news.asOf < (state.asOf ?: 0) -> "it knows revision ${news.asOf}, this instance ${state.asOf}"
        else -> null
    }

    private fun takeIn(member: Member, news: FollowAnswer, sentAt: Moment) {
        val confirmedAt = sentAt.before(news.confirmedAgoMs)
        val snapshot = news.snapshot
        if (snapshot != null) {
            state.replace(snapshot, confirmedAt, orderly = true, source = "instance ${member.id}")
        } else {
            state.applyFollowed(news.changes, news.asOf, confirmedAt, source = "instance ${member.id}")
        }
        state.trust.confirm(news.configRevision, confirmedAt)
        if (reader != member.id) log.write(Event.STATE_FOLLOWED, "reader" to member.id, "asOf" to news.asOf)
        reader = member.id
        readerLife = news.life
        position = news.position
    }

    companion object {
        /** Longest wait of a reader's watch while it is followed, milliseconds. */
        const val WATCH_MS = 500L

        /** Longest wait of one query, milliseconds. */
        private const val WAIT_MS = 500L
        private const val ANSWER_MS = 400L

        /**
         * A reader that the platform has not answered for longer is not followed, milliseconds. With one query's wait
         * it stays below the shortest bound on putting a configuration in force, 2 s.
         */
        private const val MAX_HEARD_AGO_MS = 900L
        private const val FOLLOWED_MS = 2_000L
    }
}
