package io.oriolehall.standins.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How the platform behaves. */
@Serializable
enum class PlatformState {
    @SerialName("up")
    UP,

    /** Every read is answered 503. */
    @SerialName("down")
    DOWN,

    /** Reads show what was published before this state began. */
    @SerialName("stale")
    STALE,

    /** Reads wait before they are answered. */
    @SerialName("slow")
    SLOW,
}

/**
 * Body of `PUT /mode`.
 *
 * @property ms wait of each read while slow, milliseconds.
 * @property revision last revision that is shown while stale; null for the newest when that state began.
 */
@Serializable
data class PlatformMode(val mode: PlatformState, val ms: Long = 0, val revision: Int? = null)
