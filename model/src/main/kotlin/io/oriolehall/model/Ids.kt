package io.oriolehall.model

import kotlinx.serialization.Serializable

/*
 * Identifiers. Each is a value class around the text used on the wire and in settings, so that the compiler rejects an
 * endpoint's name where an instance's name is expected.
 */

/** Name of an entry instance, from its settings. A replacement of the instance has the same name. */
@Serializable
@JvmInline
value class InstanceId(val value: String) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of an availability zone. */
@Serializable
@JvmInline
value class ZoneId(val value: String) : Comparable<ZoneId> {
    override fun compareTo(other: ZoneId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of an organisation, which is also the user name in its credentials. */
@Serializable
@JvmInline
value class OrganisationId(val value: String) {
    override fun toString(): String = value
}

/** Name of an endpoint: a model engine, encoder, retriever, reranker or plain service. */
@Serializable
@JvmInline
value class EndpointId(val value: String) : Comparable<EndpointId> {
    override fun compareTo(other: EndpointId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a pool: the endpoints that can run the same kind of stage. */
@Serializable
@JvmInline
value class PoolId(val value: String) {
    override fun toString(): String = value
}

/** Name of a pipeline, which is also the last segment of its URL path. */
@Serializable
@JvmInline
value class PipelineId(val value: String) {
    override fun toString(): String = value
}

/** Identifier of one request. For a non-idempotent request it is derived from the idempotency key. */
@Serializable
@JvmInline
value class RequestId(val value: String) {
    override fun toString(): String = value
}

/**
 * Identifies one run of an instance's process, from start to exit.
 *
 * @property startedAtMs wall-clock time of the start in milliseconds since the epoch, by the instance's own clock.
 * @property nonce random number that distinguishes processes started in the same millisecond.
 */
@Serializable
data class Incarnation(val startedAtMs: Long, val nonce: Int) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int =
        compareValuesBy(this, other, Incarnation::startedAtMs, Incarnation::nonce)

    override fun toString(): String = "$startedAtMs.${nonce.toUInt().toString(RADIX)}"

    private companion object {
        const val RADIX = 16
    }
}

/** TCP address: an IP address and a port. */
@Serializable
data class NetworkAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535
        private const val MAX_OCTET = 255
        private val SYNTAX = Regex("""((?:[0-9]{1,3}\.){3}[0-9]{1,3}):([0-9]{1,5})""")

        /** Parses an IPv4 address and a port, such as `10.1.0.41:8625`; returns null if [text] is anything else. */
        fun parse(text: String): NetworkAddress? {
            val (host, port) = SYNTAX.matchEntire(text)?.destructured ?: return null
            if (host.split('.').any { it.toInt() > MAX_OCTET } || port.toInt() !in 1..MAX_PORT) return null
            return NetworkAddress(host, port.toInt())
        }
    }
}
