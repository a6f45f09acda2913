package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/*
 * What the instances say to each other about an endpoint's limit. One instance of the endpoint's zone owns the limit
 * and leases credits to the others; a credit is the right to have one call running. docs/design/limits.md has the
 * argument for why the sum stays within the limit.
 */

/**
 * Mark of an owner's answer. A holder returns the newest one, which shows the owner that the request is fresh and
 * which grants the holder has seen.
 *
 * @property startedAtMs with [nonce], the owner's incarnation; flat and with short names, as every message has a stamp.
 * @property atMs the owner's monotonic clock, milliseconds; it means nothing to anybody else.
 * @property serial counts the owner's answers for the endpoint.
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

/** Part a holder takes in the ownership of an endpoint. */
@Serializable
enum class HolderRole {
    /** One of the endpoint's voters: it follows one owner at a time and counts in the owner's share. */
    @SerialName("v")
    VOTER,

    /** Another instance of the endpoint's zone. */
    @SerialName("b")
    BORROWER,

    /** An instance of another zone: it receives only what the zone's own instances leave. */
    @SerialName("g")
    GUEST,
}

/**
 * What a holder saw of an endpoint since its last request.
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

/** The instance that asks for credits, and which life of it. */
data class HolderId(val instance: InstanceId, val incarnation: Incarnation)

/**
 * A holder asks for credits. Who asks is said once for all of its requests to an owner.
 *
 * @property sequence rises with each request of this incarnation for the endpoint; the owner ignores older ones.
 * @property echo newest stamp that the holder has from this owner; null on first contact.
 * @property inFlight calls of the holder that have not ended.
 * @property wanted calls the holder would have running if it could; 0 when it only votes.
 * @property ageMs time since the holder's process started, milliseconds, at most [MAX_AGE_MS].
 * @property release true when the holder gives up its credits and follows this owner no longer.
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
        /** Age from which a process counts as old, milliseconds. */
        const val MAX_AGE_MS = 60_000L
    }
}

/**
 * The owner's answer.
 *
 * @property credits calls that the holder may have running, those in flight included.
 * @property leaseMs how long it may start calls on them, milliseconds from the sending of its request.
 * @property renewMs when to ask again, milliseconds from the sending of its request; 0 when the request granted nothing
 *   for want of a fresh stamp.
 * @property released true when the holder is free to follow another owner at once.
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
