package io.oriolehall.dispatch.config

import io.oriolehall.dispatch.store.StorePosition
import kotlinx.serialization.Serializable

/*
 * The active configuration and how recently it was confirmed to be the newest. Configurations arrive from the platform
 * and from other instances in any order; the highest version wins, so the active version never decreases, even if the
 * store is restored from a copy that holds an older one. A confirmation states that a version was the newest at some
 * moment. API keys are accepted only while the last confirmation is recent enough.
 */

/** Identifies a configuration by its own [version] and the [position] in the store of its item. */
@Serializable
data class ConfigStamp(val version: Long, val position: StorePosition) {
    /**
     * True if this configuration replaces the one of [other]. Within an era, a rewritten item of the same version
     * replaces the earlier one. Across eras, the items of one version are equal and need no exchange.
     */
    fun replaces(other: ConfigStamp): Boolean = when {
        version != other.version -> version > other.version
        else -> position.era == other.position.era && position.revision > other.position.revision
    }

    /** True if a confirmation of this stamp also holds for the configuration of [other]. */
    fun confirms(other: ConfigStamp): Boolean =
        version == other.version && (position.era != other.position.era || position == other.position)
}

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

    companion object {
        /** Before any other reading. */
        val NEVER = ClockReading(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2)
    }
}

/**
 * An active configuration.
 *
 * @property confirmedAt latest moment at which it was confirmed to be the newest.
 */
data class ConfirmedConfig(val table: RouteTable, val stamp: ConfigStamp, val confirmedAt: ClockReading) {
    /** Revision of its item in the platform's store. */
    val revision: Long get() = stamp.position.revision

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
     * Activates [config], read at [position] of the store, unless the active one is as new or newer. Returns true when
     * the configuration changed.
     *
     * @param confirmedAt when it was the newest; null if that is not known. It then counts as confirmed when the one
     *   before it was, because whatever revokes a key that both accept was written later than that.
     */
    fun activateIfNewer(config: ServingConfig, position: StorePosition, confirmedAt: ClockReading?): Boolean {
        val stamp = ConfigStamp(config.version, position)
        val previous = current
        if (previous != null && !mayReplace(previous, stamp, config)) {
            if (stamp.version == previous.stamp.version && position > previous.stamp.position) {
                current = previous.copy(stamp = stamp)
            }
            confirmedAt?.let { confirm(stamp, it) }
            return false
        }
        current = ConfirmedConfig(RouteTable(config), stamp, confirmedAt ?: previous?.confirmedAt ?: ClockReading.NEVER)
        return true
    }

    /** A writer that breaks the rule of one content for each version is followed within an era and to a newer one. */
    private fun mayReplace(previous: ConfirmedConfig, stamp: ConfigStamp, config: ServingConfig): Boolean =
        stamp.replaces(previous.stamp) ||
            (
                stamp.version == previous.stamp.version &&
                    stamp.position.era > previous.stamp.position.era &&
                    config != previous.table.config
                )

    /** Records that the configuration of [stamp] was the newest at [at]. Ignored when it is not the active one. */
    fun confirm(stamp: ConfigStamp, at: ClockReading) {
        val previous = current ?: return
        if (!stamp.confirms(previous.stamp) || at.ms <= previous.confirmedAt.ms) return
        current = previous.copy(confirmedAt = at)
    }
}
