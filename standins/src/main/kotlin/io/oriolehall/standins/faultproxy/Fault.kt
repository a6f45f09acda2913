package io.oriolehall.standins.faultproxy

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What happens to a link's traffic. */
@Serializable
enum class FaultMode {
    @SerialName("pass")
    PASS,

    /** Nothing passes in either direction and nothing is said, on open connections and on new ones. */
    @SerialName("cut")
    CUT,

    /** Nothing passes from the source to the target. */
    @SerialName("cutForward")
    CUT_FORWARD,

    /** Nothing passes from the target to the source. */
    @SerialName("cutBack")
    CUT_BACK,

    /** New connections are refused; open ones go on. */
    @SerialName("refuse")
    REFUSE,

    /** Bytes arrive later in both directions. */
    @SerialName("delay")
    DELAY,

    /** Open connections are closed, new ones are closed as soon as they are accepted. */
    @SerialName("reset")
    RESET,

    /** Connections that are open when the fault begins are closed; new ones pass. */
    @SerialName("resetOpen")
    RESET_OPEN,
}

/**
 * The links that a fault applies to: those that agree with every field that is set.
 *
 * @property crossingZone links with exactly one end in this zone.
 */
@Serializable
data class FaultMatch(
    val linkId: String? = null,
    val sourceId: String? = null,
    val sourceZone: String? = null,
    val targetId: String? = null,
    val targetZone: String? = null,
    val crossingZone: String? = null,
) {
    /** True when the fault applies to [link]. */
    fun matches(link: Link): Boolean =
        agrees(linkId, link.id) &&
            agrees(sourceId, link.sourceId) &&
            agrees(sourceZone, link.sourceZone) &&
            agrees(targetId, link.targetId) &&
            agrees(targetZone, link.targetZone) &&
            crosses(link)

    private fun agrees(wanted: String?, found: String) = wanted == null || wanted == found

    private fun crosses(link: Link) =
        crossingZone == null || (link.sourceZone == crossingZone) != (link.targetZone == crossingZone)
}

/**
 * A fault. Of several that match a link the last one added applies.
 *
 * @property ms added to each way while the mode is delay, milliseconds.
 */
@Serializable
data class Fault(val match: FaultMatch = FaultMatch(), val mode: FaultMode, val ms: Long = 0)
