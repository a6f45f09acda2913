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

    /** Ranks of the least urgent routes, by the services that compute their stages. */
    private val lowestRanks: Map<Set<String>, Int> = config.routes
        .filter { it.stages.isNotEmpty() }
        .groupBy(Route::stageServices)
        .mapValues { (_, routes) -> routes.maxOf(Route::priority) }

    /** True when callers have to name their organisation by an API key. */
    val keysRequired: Boolean = config.organisations.isNotEmpty()

    /** The route with the longest prefix that begins the path of [uri], a request target that may have a query. */
    fun route(host: String, uri: String): Route? {
        val path = uri.substringBefore('?')
        val name = host.substringBefore(':').lowercase()
        return byHost[name]?.firstOrNull { path.startsWith(it.prefix) }
    }

    /** Rank of the least urgent route that uses all services that compute the stages of [route]. */
    fun lowestRankBeside(route: Route): Int =
        lowestRanks.filterKeys { it.containsAll(route.stageServices) }.values.maxOrNull() ?: route.priority

    fun organisation(apiKey: String): Organisation? = byKey[apiKey]

    fun service(name: String): Service? = services[name]
}
