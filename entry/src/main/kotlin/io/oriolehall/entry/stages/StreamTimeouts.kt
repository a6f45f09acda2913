package io.oriolehall.entry.stages

/**
 * How long a stream may be silent before its connection counts as lost.
 *
 * @property firstLineShare share of a call's remaining time that may pass before the first line.
 * @property idleMs time between two lines, milliseconds.
 */
data class StreamTimeouts(val firstLineShare: Double = 0.5, val idleMs: Long = 750)
