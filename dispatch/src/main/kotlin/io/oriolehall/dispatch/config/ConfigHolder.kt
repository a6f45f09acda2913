package io.oriolehall.dispatch.config

/*
 * The active configuration and how recently it was confirmed to be the newest. Configurations arrive from the platform
 * and from other instances in any order; the highest revision wins, so the active revision never decreases. A
 * confirmation states that a revision was the newest at some moment. API keys are accepted only while the last
 * confirmation is recent enough.
 */

/**
 * Simultaneous readings of the monotonic clock and the wall clock of the machine.
 *
 * @property ms monotonic milliseconds.
 * @property wallMs wall clock, milliseconds since the epoch.
 */
data class ClockReading(val ms: Long, val wallMs: Long) {
    /** Grows when the machine is suspended, because the monotonic clock stops during a suspension. */
    val clockOffsetMs: Long get() = wallMs - ms

    /** The readings [durationMs] earlier. */
    fun before(durationMs: Long) = ClockReading(ms - durationMs, wallMs - durationMs)
}

/**
 * An active configuration and its revision in the platform's store.
 *
 * @property confirmedAt latest moment at which it was confirmed to be the newest.
 */
data class ConfirmedConfig(val table: RouteTable, val revision: Long, val confirmedAt: ClockReading) {
    /**
     * True when requests with an API key may be forwarded: the last confirmation is more recent than [maxAgeMs], and
     * the machine has not been suspended since.
     */
    fun mayAcceptApiKeys(now: ClockReading, maxAgeMs: Long): Boolean {
        val suspendedMs = now.clockOffsetMs - confirmedAt.clockOffsetMs
        return now.ms - confirmedAt.ms < maxAgeMs && suspendedMs < MIN_SUSPENSION_MS
    }

    private companion object {
        /** Smallest forward step of the wall clock that counts as a suspension, milliseconds; clocks drift far less. */
        const val MIN_SUSPENSION_MS = 400L
    }
}

/** Holds the newest configuration. Only the control thread changes it; any thread may read [current]. */
class ConfigHolder {
    @Volatile
    var current: ConfirmedConfig? = null
        private set

    /**
     * Activates [config] unless the active revision is as high or higher. Returns true when the configuration changed.
     */
    fun activateIfNewer(config: ServingConfig, revision: Long, confirmedAt: ClockReading): Boolean {
        val previous = current
        if (previous != null && previous.revision >= revision) {
            confirm(revision, confirmedAt)
            return false
        }
        current = ConfirmedConfig(RouteTable(config), revision, confirmedAt)
        return true
    }

    /** Records that [revision] was the newest at [at]. Ignored when it is not the active revision. */
    fun confirm(revision: Long, at: ClockReading) {
        val previous = current ?: return
        if (previous.revision != revision || at.ms <= previous.confirmedAt.ms) return
        current = previous.copy(confirmedAt = at)
    }
}
