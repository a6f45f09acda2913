package io.oriolehall.dispatch.config

import io.oriolehall.model.OrganisationId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.lang.ref.WeakReference

class RouteTableTest {
    private fun route(prefix: String, stages: List<StageSpec> = emptyList(), priority: Int = 0) = Route(
        name = prefix,
        host = "a.example",
        prefix = prefix,
        kind = RouteKind.IDEMPOTENT,
        timeoutMs = 1_000,
        objectiveMs = 100,
        priority = priority,
        targets = listOf(RouteTarget("s", 1)),
        maxAttempts = 1,
        stages = stages,
    )

    private val table = RouteTable(
        ServingConfig(
            version = 1,
            routes = listOf(route("/a/"), route("/a/b/")),
            services = emptyList(),
            limits = CallerLimits(),
            organisations = listOf(Organisation(OrganisationId("o"), listOf("k1", "k2"))),
        ),
    )

    @Test
    fun `the longest prefix of the path selects the route`() {
        expectThat(table.route("a.example", "/a/b/c?x=/a/")?.prefix).isEqualTo("/a/b/")
        expectThat(table.route("A.example:80", "/a/c")?.prefix).isEqualTo("/a/")
        expectThat(table.route("a.example", "/ab/")).isNull()
        expectThat(table.route("b.example", "/a/")).isNull()
    }

    @Test
    fun `the least urgent route beside another one uses all of its stages' services`() {
        fun stages(vararg services: String) = services.map { StageSpec(it, emptyList(), 1) }
        val short = route("/short/", stages("x"), priority = 1)
        val long = route("/long/", stages("x", "y"), priority = 0)
        val last = route("/last/", stages("x"), priority = 3)
        val table = RouteTable(ServingConfig(1, listOf(short, long, last), emptyList(), CallerLimits(), emptyList()))
        expectThat(table.plan(short).lowestSharedPriority).isEqualTo(3)
        expectThat(table.plan(long).lowestSharedPriority).isEqualTo(0)
    }

    @Test
    fun `the plan of a request has the limits of the services that it uses`() {
        val services = listOf("s", "x", "y").map { Service(it, "/", maxConnections = 7, coldPerSecond = 0.0) }
        val route = route("/a/", listOf(StageSpec("x", emptyList(), 1)))
        val plan = RouteTable(ServingConfig(5, listOf(route), services, CallerLimits(), emptyList())).plan(route)
        expectThat(listOf("s", "x", "y").map { plan.service(it)?.maxConnections }).containsExactly(7, 7, null)
        expectThat(plan.version).isEqualTo(5)
    }

    /** Guards against a table for each request in flight: with many versions they would exhaust the heap. */
    @Suppress("ExplicitGarbageCollectionCall") // The test is about what a collection frees.
    @Test
    fun `the plan of a request does not keep the configuration in memory`() {
        fun planAndTable(): Pair<RequestPlan, WeakReference<RouteTable>> {
            val route = route("/a/")
            val table = RouteTable(ServingConfig(1, listOf(route), emptyList(), CallerLimits(), emptyList()))
            return table.plan(route) to WeakReference(table)
        }
        val (plan, table) = planAndTable()
        val waitUntilMs = System.currentTimeMillis() + MAX_COLLECTION_MS
        while (table.get() != null && System.currentTimeMillis() < waitUntilMs) System.gc()
        expectThat(table.get()).isNull()
        expectThat(plan.route.prefix).isEqualTo("/a/")
    }

    @Test
    fun `each key names its organisation`() {
        expectThat(table.organisation("k2")?.id?.value).isEqualTo("o")
        expectThat(table.organisation("k3")).isNull()
    }

    @Test
    fun `results of stages that no other stage needs go to the service`() {
        val stages = listOf(
            StageSpec("s", emptyList(), 1),
            StageSpec("s", emptyList(), 1),
            StageSpec("s", listOf(1), 1),
        )
        expectThat(route("/a/", stages).finalStages).containsExactly(0, 2)
    }

    private companion object {
        const val MAX_COLLECTION_MS = 5_000L
    }
}
