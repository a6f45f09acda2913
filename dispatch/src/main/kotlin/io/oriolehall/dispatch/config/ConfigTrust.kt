package io.oriolehall.dispatch.config

/*
 * Which configuration is in force and how sure the instance is that it is the newest. Configurations come from the
 * platform and from other instances, in any order; the one with the highest revision wins, so that none is ever taken
 * back. A confirmation is the news that a revision was the newest at some moment; API keys are honoured only as long
 * as the last confirmation is young enough.
 */

/**
 * A moment by both clocks of the machine.
 *
 * @property ms monotonic milliseconds.
 * @property wallMs wall clock, milliseconds since the epoch.
 */
data class Moment(val ms: Long, val wallMs: Long) {
    /** Grows when the machine was suspended, which the monotonic clock does not show. */
    val clockOffsetMs: Long get() = wallMs - ms

    /** The moment [durationMs] before this one. */
    fun before(durationMs: Long) = Moment(ms - durationMs, wallMs - durationMs)
}

/**
 * A configuration and its revision in the platform's store.
 *
 * @property confirmedAt last moment at which it was known to be the newest.
 */
data class TrustedConfig(val table: RouteTable, val revision: Long, val confirmedAt: Moment) {
    /**
     * True when requests with an API key may be sent on: the last confirmation is younger than [maxAgeMs], and the
     * machine has not been suspended since.
     */
    fun mayHonourKeys(now: Moment, maxAgeMs: Long): Boolean {
        val suspendedMs = now.clockOffsetMs - confirmedAt.clockOffsetMs
        return now.ms - confirmedAt.ms < maxAgeMs && suspendedMs < SUSPENSION_MS
    }

    private companion object {
        /** Forward step of the wall clock that is taken for a suspension, milliseconds; clocks drift far less. */
        const val SUSPENSION_MS = 400L
    }
}

/** Holds the newest configuration. Its changes belong to the control thread; [current] may be read by any thread. */
class ConfigTrust {
    @Volatile
    var current: TrustedConfig? = null
        private set

    /** Takes [config] in force unless a revision as high is there already. Returns true when it changed. */
    fun offer(config: ServingConfig, revision: Long, confirmedAt: Moment): Boolean {
        val old = current
        if (old != null && old.revision >= revision) {
            confirm(revision, confirmedAt)
            return false
        }
        current = TrustedConfig(RouteTable(config), revision, confirmedAt)
        return true
    }

    /** Notes that [revision] was the newest at [at]. Ignored when it is not the one in force. */
    fun confirm(revision: Long, at: Moment) {
        val old = current ?: return
        if (old.revision != revision || at.ms <= old.confirmedAt.ms) return
        current = old.copy(confirmedAt = at)
    }
}
