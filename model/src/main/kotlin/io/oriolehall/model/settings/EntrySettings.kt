package io.oriolehall.model.settings

import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.ZoneId

/*
 * Settings of an entry instance, with one class per section of the INI file. docs/operators/SETTINGS.md lists the keys,
 * their units and defaults.
 */

/**
 * All settings of an entry instance.
 *
 * @property translate section `[translate]`: published addresses and the addresses to connect to instead.
 */
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
    /** The address to connect to from this instance for an address [published] by the platform or in a ticket. */
    fun dialled(published: NetworkAddress): NetworkAddress = translate[published] ?: published
}

/** Identity of the instance: section `[instance]`. */
data class InstanceSettings(val id: InstanceId, val zone: ZoneId)

/** Addresses on which the instance listens: section `[listen]`. Port 0 selects a free port. */
data class ListenSettings(
    val callers: NetworkAddress,
    val operators: NetworkAddress,
    val peers: NetworkAddress,
)

/** Addresses of the platform's services: section `[platform]`. */
data class PlatformSettings(val configuration: NetworkAddress, val instances: NetworkAddress)

/**
 * Idempotency tokens: section `[tokens]`.
 *
 * @property secret signing key, which must be the same on every instance; at least 16 characters.
 */
data class TokenSettings(val secret: String)

/**
 * Idempotency keys: section `[keys]`. All instances must use the same values.
 *
 * @property lifetimeMs age in milliseconds from which a request with the key is no longer run.
 * @property clockToleranceMs maximum difference between the clocks of two instances in milliseconds. A witness confirms
 *   keys only once twice this time has passed since it started.
 */
data class KeySettings(val lifetimeMs: Long = 600_000, val clockToleranceMs: Long = 5_000)

/**
 * Names of the policies in use: section `[policy]`.
 *
 * @property endpointChoice `least-outstanding`, `round-robin`, `power-of-two` or `prefix-affinity`.
 * @property limits how an endpoint's concurrency limit is enforced across all instances: `leases`, `equal-split` or
 *   `none`.
 * @property admission `deadline` or `none`.
 * @property endpointSubset number of endpoints per pool of its zone to which an instance sends while their capacity
 *   suffices; used with the limits policy `leases`.
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
 * @property contacts addresses of other instances to contact if the platform's instance list cannot be read.
 * @property exchange false to disable membership and the exchange of configuration with other instances; for
 *   comparisons.
 */
data class PeerSettings(val contacts: List<NetworkAddress> = emptyList(), val exchange: Boolean = true)

/**
 * Graceful shutdown: section `[stop]`.
 *
 * @property keepServingMs time in milliseconds after the stop signal during which the instance still accepts requests
 *   from the load balancer.
 * @property waitMs maximum further wait for unfinished work in milliseconds.
 */
data class StopSettings(val keepServingMs: Long = 3_000, val waitMs: Long = 30_000)

/**
 * Orders to engines: section `[orders]`. All instances of a zone must use the same values.
 *
 * @property loadsAtOnce number of concurrent model loads that the zone's weight store can handle.
 * @property longestLoadMs maximum time in milliseconds that an engine takes to carry out an order.
 */
data class OrderSettings(val loadsAtOnce: Int = 2, val longestLoadMs: Long = 60_000)
