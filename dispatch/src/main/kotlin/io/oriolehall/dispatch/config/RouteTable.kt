package io.oriolehall.dispatch.config

/**
 * Lookups in one configuration: the route of a host and path, the organisation of an API key, and services by name.
 * Immutable, so that request threads can read it without locks.
 */
class RouteTable(val config: ServingConfig) {
    private val routesByHost: Map<String, List<Route>> = config.routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.prefix.length } }

    private val organisationsByKey: Map<String, Organisation> = config.organisations
        .flatMap { organisation -> organisation.apiKeys.map { it to organisation } }
        .toMap()

    private val servicesByName: Map<String, Service> = config.services.associateBy(Service::name)

    /** For each set of stage services, the priority of the least urgent route that uses exactly that set. */
    private val lowestPriorities: Map<Set<String>, Int> = config.routes
        .filter { it.stages.isNotEmpty() }
        .groupBy(Route::stageServices)
        .mapValues { (_, routes) -> routes.maxOf(Route::priority) }

    /** True when callers have to identify their organisation by an API key. */
    val keysRequired: Boolean = config.organisations.isNotEmpty()

    /** The route with the longest prefix that matches the path of [uri], a request target that may have a query. */
    fun route(host: String, uri: String): Route? {
        val path = uri.substringBefore('?')
        val hostName = host.substringBefore(':').lowercase()
        return routesByHost[hostName]?.firstOrNull { path.startsWith(it.prefix) }
    }

    /** What a request on [route], one of the routes of this table, needs to be served. */
    fun plan(route: Route): RequestPlan {
        val names = route.targets.map(RouteTarget::service) + route.stages.map(StageSpec::service)
        return RequestPlan(
            version = config.version,
            route = route,
            keysRequired = keysRequired,
            lowestSharedPriority = lowestPrioritySharingStages(route),
            services = names.mapNotNull(servicesByName::get).associateBy(Service::name),
        )
    }

    /** Priority of the least urgent route that uses all stage services of [route]. */
    private fun lowestPrioritySharingStages(route: Route): Int =
        lowestPriorities.filterKeys { it.containsAll(route.stageServices) }.values.maxOrNull() ?: route.priority

    fun organisation(apiKey: String): Organisation? = organisationsByKey[apiKey]

    fun service(name: String): Service? = servicesByName[name]
}
