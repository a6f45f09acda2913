package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/*
 * Messages that instances exchange about an endpoint's concurrency limit. One instance of the endpoint's zone owns the
 * limit and leases credits to the others; a credit is the right to have one call running. docs/design/limits.md
 * explains why the total number of running calls stays within the limit.
 */

/**
 * Identifies an owner's answer. A holder returns the newest stamp with its next request, which tells the owner that the
 * request is fresh and which grants the holder has received.
 *
 * @property startedAtMs with [nonce], the owner's incarnation; written as two fields with short names because every
 *   message carries a stamp.
 * @property atMs the owner's monotonic clock, milliseconds; not comparable with the clock of any other instance.
 * @property serial number of the answer, counted by the owner for each endpoint.
 */
@Serializable
data class CreditStamp(
    @SerialName("o") val startedAtMs: Long,
    @SerialName("p") val nonce: Int,
    @SerialName("t") val atMs: Long,
    @SerialName("n") val serial: Long,
) {
    constructor(owner: Incarnation, atMs: Long, serial: Long) : this(owner.startedAtMs, owner.nonce, atMs, serial)

    /** The owner's incarnation. */
    val owner: Incarnation get() = Incarnation(startedAtMs, nonce)
}

/** The role of a holder towards the owner of an endpoint. */
@Serializable
enum class HolderRole {
    /** One of the endpoint's voters: it follows one owner at a time and counts towards that owner's share. */
    @SerialName("v")
    VOTER,

    /** An instance of the endpoint's zone that is not a voter. */
    @SerialName("b")
    BORROWER,

    /** An instance of another zone: it receives only credits that the endpoint's own zone does not need. */
    @SerialName("g")
    GUEST,
}

/**
 * The results of calls that a holder observed at an endpoint since its last request.
 *
 * @property meanMs mean time to the first output of the completed calls, milliseconds.
 */
@Serializable
data class ObservedWork(
    @SerialName("c") val completed: Int = 0,
    @SerialName("d") val declined: Int = 0,
    @SerialName("f") val failed: Int = 0,
    @SerialName("m") val meanMs: Double = 0.0,
)

/** The instance that requests credits, and its incarnation. */
data class HolderId(val instance: InstanceId, val incarnation: Incarnation)

/**
 * A request for credits. The holder is not part of it: it is sent once for a whole batch of requests to an owner.
 *
 * @property sequence increases with each request of this incarnation for the endpoint; the owner ignores older
 *   requests.
 * @property echo newest stamp that the holder has received from this owner; null on first contact.
 * @property inFlight calls of the holder that have not finished.
 * @property wanted calls that the holder would run if it had enough credits; 0 if it only votes.
 * @property ageMs time since the holder's process started, milliseconds, at most [MAX_AGE_MS].
 * @property release true if the holder gives up its credits and stops following this owner.
 */
@Serializable
data class CreditRequest(
    @SerialName("e") val endpoint: EndpointId,
    @SerialName("n") val sequence: Long,
    @SerialName("r") val role: HolderRole = HolderRole.VOTER,
    @SerialName("s") val echo: CreditStamp? = null,
    @SerialName("i") val inFlight: Int = 0,
    @SerialName("w") val wanted: Int = 0,
    @SerialName("a") val ageMs: Long = MAX_AGE_MS,
    @SerialName("x") val release: Boolean = false,
    @SerialName("o") val observed: ObservedWork = ObservedWork(),
) {
    companion object {
        /** Upper bound of the reported age, milliseconds; older processes report this value. */
        const val MAX_AGE_MS = 60_000L
    }
}

/**
 * The owner's answer to a [CreditRequest].
 *
 * @property credits calls that the holder may have running, including those already in flight.
 * @property leaseMs how long the holder may start calls on them, milliseconds from the time it sent the request.
 * @property renewMs when to send the next request, milliseconds from the time the request was sent; 0 if nothing was
 *   granted because the request had no fresh stamp.
 * @property released true if the holder may follow another owner immediately.
 */
@Serializable
data class CreditAnswer(
    @SerialName("e") val endpoint: EndpointId,
    @SerialName("s") val stamp: CreditStamp,
    @SerialName("c") val credits: Int = 0,
    @SerialName("l") val leaseMs: Long = 0,
    @SerialName("p") val renewMs: Long = 0,
    @SerialName("x") val released: Boolean = false,
)
