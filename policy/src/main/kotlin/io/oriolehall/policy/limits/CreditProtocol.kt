package io.oriolehall.policy.limits

import io.oriolehall.model.EndpointId
import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
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
 * @property atMs the owner's monotonic clock, milliseconds; it means nothing to anybody else.
 * @property serial counts the owner's answers for the endpoint.
 */
@Serializable
data class CreditStamp(val owner: Incarnation, val atMs: Long, val serial: Long)

/** Part a holder takes in the ownership of an endpoint. */
@Serializable
enum class HolderRole {
    /** An instance of the endpoint's zone: it follows one owner at a time and counts in the owner's share. */
    MEMBER,

    /** An instance of another zone: it receives only what the members leave. */
    GUEST,
}

/**
 * What a holder saw of an endpoint since its last request.
 *
 * @property meanMs mean time to the first output of the completed calls, milliseconds.
 */
@Serializable
data class ObservedWork(
    val completed: Int = 0,
    val declined: Int = 0,
    val failed: Int = 0,
    val meanMs: Double = 0.0,
)

/**
 * A holder asks for credits.
 *
 * @property sequence rises with each request of this incarnation for the endpoint; the owner ignores older ones.
 * @property echo newest stamp that the holder has from this owner; null on first contact.
 * @property inFlight calls of the holder that have not ended.
 * @property wanted calls the holder would have running if it could.
 * @property ageMs time since the holder's process started, milliseconds.
 * @property release true when the holder gives up its credits and follows this owner no longer.
 */
@Serializable
data class CreditRequest(
    val endpoint: EndpointId,
    val holder: InstanceId,
    val incarnation: Incarnation,
    val sequence: Long,
    val role: HolderRole = HolderRole.MEMBER,
    val echo: CreditStamp? = null,
    val inFlight: Int = 0,
    val wanted: Int = 0,
    val ageMs: Long = 0,
    val release: Boolean = false,
    val observed: ObservedWork = ObservedWork(),
)

/**
 * The owner's answer.
 *
 * @property credits calls that the holder may have running, those in flight included.
 * @property leaseMs how long it may start calls on them, milliseconds from the sending of its request.
 * @property released true when the holder is free to follow another owner at once.
 */
@Serializable
data class CreditAnswer(
    val endpoint: EndpointId,
    val stamp: CreditStamp,
    val credits: Int = 0,
    val leaseMs: Long = 0,
    val released: Boolean = false,
)
