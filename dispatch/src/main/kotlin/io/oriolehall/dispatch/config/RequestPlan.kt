package io.oriolehall.dispatch.config

/**
 * What the configuration that admitted a request says about it. A request keeps this instead of the [RouteTable]: a
 * table has every route and organisation, and requests that last for seconds would keep the table of each version.
 *
 * @property version version of that configuration.
 * @property keysRequired true when callers have to identify their organisation by an API key.
 * @property lowestSharedPriority priority of the least urgent route that uses all stage services of [route].
 */
class RequestPlan internal constructor(
    val version: Long,
    val route: Route,
    val keysRequired: Boolean,
    val lowestSharedPriority: Int,
    private val services: Map<String, Service>,
) {
    /** The limits of [name], one of the services of the route and its stages; null if they are not configured. */
    fun service(name: String): Service? = services[name]
}
