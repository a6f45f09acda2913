package io.oriolehall.dispatch.config

/**
 * Look-ups in one configuration: the route of a host and path, the organisation of an API key, and services by name.
 * Immutable, so that traffic reads it without locks.
 */
class RouteTable(val config: ServingConfig) {
    private val byHost: Map<String, List<Route>> = config.routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.prefix.length } }

    private val byKey: Map<String, Organisation> = config.organisations
        .flatMap { organisation -> organisation.apiKeys.map { it to organisation } }
        .toMap()

    private val services: Map<String, Service> = config.services.associateBy(Service::name)

    /** True when callers have to name their organisation by an API key. */
    val keysRequired: Boolean = config.organisations.isNotEmpty()

    /** The route with the longest prefix that begins the path of [uri], a request target that may have a query. */
    fun route(host: String, uri: String): Route? {
        val path = uri.substringBefore('?')
        val name = host.substringBefore(':').lowercase()
        return byHost[name]?.firstOrNull { path.startsWith(it.prefix) }
    }

    fun organisation(apiKey: String): Organisation? = byKey[apiKey]

    fun service(name: String): Service? = services[name]
}
