package io.oriolehall.model.settings

import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId

/*
 * Settings of an entry instance. A section of the INI file becomes one class here; docs/operators/SETTINGS.md lists
 * the keys, their units and defaults.
 */

/** All settings of an entry instance. */
data class EntrySettings(
    val instance: InstanceSettings,
    val listen: ListenSettings,
    val platform: PlatformSettings,
    val tokens: TokenSettings,
    val keys: KeySettings = KeySettings(),
    val policy: PolicySettings = PolicySettings(),
    val translate: Map<NetworkAddress, NetworkAddress> = emptyMap(),
    val peers: PeerSettings = PeerSettings(),
    val stop: StopSettings = StopSettings(),
    val orders: OrderSettings = OrderSettings(),
) {
    /** The address to dial from here for one that the platform or a ticket publishes. */
    fun dialled(published: NetworkAddress): NetworkAddress = translate[published] ?: published
}

/** Who the instance is: section `[instance]`. */
data class InstanceSettings(val id: InstanceId, val zone: ZoneId)

/** Where it listens: section `[listen]`. Port 0 takes a free port. */
data class ListenSettings(
    val callers: NetworkAddress,
    val operators: NetworkAddress,
    val peers: NetworkAddress,
)

/** Where the platform serves: section `[platform]`. */
data class PlatformSettings(val configuration: NetworkAddress, val instances: NetworkAddress)

/**
 * Idempotency tokens: section `[tokens]`.
 *
 * @property secret key of the signature, the same on every instance; at least 16 characters.
 */
data class TokenSettings(val secret: String)

/**
 * Idempotency keys: section `[keys]`. All instances use the same values.
 *
 * @property lifetimeMs age from which a key is no longer run, milliseconds.
 * @property clockToleranceMs largest difference between the clocks of two instances, milliseconds. A witness vouches
 *   for keys only from twice this time after its start.
 */
data class KeySettings(val lifetimeMs: Long = 600_000, val clockToleranceMs: Long = 5_000)

/**
 * Names of the policies in use: section `[policy]`.
 *
 * @property endpointChoice `least-outstanding`, `round-robin`, `power-of-two` or `prefix-affinity`.
 * @property limits how an endpoint's limit is kept over all instances: `leases`, `equal-split` or `none`.
 * @property admission `deadline` or `none`.
 * @property endpointSubset endpoints of each pool of its zone that an instance sends to while they suffice, with limits
 *   by `leases`.
 */
data class PolicySettings(
    val endpointChoice: String = "least-outstanding",
    val limits: String = "leases",
    val admission: String = "deadline",
    val endpointSubset: Int = 4,
)

/**
 * Other instances: section `[peers]`.
 *
 * @property contacts addresses at which other instances may be found when the platform's list cannot be read.
 * @property exchange false to neither know other instances nor exchange configuration with them; for comparisons.
 */
data class PeerSettings(val contacts: List<NetworkAddress> = emptyList(), val exchange: Boolean = true)

/**
 * Stopping: section `[stop]`.
 *
 * @property keepServingMs time for which an instance that was told to stop serves what the balancer still sends,
 *   milliseconds.
 * @property waitMs longest wait after that for unfinished work, milliseconds.
 */
data class StopSettings(val keepServingMs: Long = 3_000, val waitMs: Long = 30_000)

/**
 * Orders to engines: section `[orders]`. All instances of a zone use the same values.
 *
 * @property loadsAtOnce loads that the zone's weight store bears at once.
 * @property longestLoadMs longest time that an engine takes to carry out an order, milliseconds.
 */
data class OrderSettings(val loadsAtOnce: Int = 2, val longestLoadMs: Long = 60_000)
