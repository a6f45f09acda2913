package io.oriolehall.standins.faultproxy

import kotlinx.serialization.Serializable

/**
 * One way through the proxy, from a source process to a target process.
 *
 * @property listen where the proxy accepts, `host:port`; port 0 takes a free one.
 * @property target where it connects to, `host:port`.
 */
@Serializable
data class Link(
    val id: String,
    val listen: String = "127.0.0.1:0",
    val target: String,
    val sourceId: String = "",
    val sourceZone: String = "",
    val targetId: String = "",
    val targetZone: String = "",
)

/** Body of `PUT /links/{id}`. */
@Serializable
data class LinkTarget(val target: String)

/**
 * A link as it stands: answer of `POST /links` and element of `GET /links`.
 *
 * @property open connections that the proxy holds.
 * @property endedBySource open connections whose source has closed them.
 * @property accepted connections since the link was opened.
 */
@Serializable
data class LinkStatus(
    val link: Link,
    val address: String,
    val mode: FaultMode,
    val open: Int,
    val endedBySource: Int,
    val accepted: Long,
)
