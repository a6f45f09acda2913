package io.oriolehall.harness.fleet

import io.oriolehall.harness.process.LaunchedProcess
import io.oriolehall.model.Endpoint
import io.oriolehall.model.LoadReport
import io.oriolehall.model.NetworkAddress
import io.oriolehall.standins.endpoint.Behaviour
import io.oriolehall.standins.endpoint.EndpointStats

/** An endpoint of a running fleet. */
class EndpointProcess internal constructor(
    val spec: EndpointSpec,
    val address: NetworkAddress,
    process: LaunchedProcess,
    private val connect: (String) -> ControlHttp,
    private val launch: () -> LaunchedProcess,
) {
    /** The process that runs now, or the last one that ran. */
    var process: LaunchedProcess = process
        private set

    private val control get() = connect(checkNotNull(process.ready.control))

    /** The endpoint as tickets state it. */
    val published: Endpoint = Endpoint(
        id = spec.id,
        zone = spec.zone,
        pool = spec.pool,
        address = address,
        coldLimit = spec.coldLimit,
        warmLimit = spec.warmLimit,
        fenced = spec.fenced,
    )

    /** Counts of the process that runs now. */
    suspend fun stats(): EndpointStats = control.get("/stats", EndpointStats.serializer())

    /** What the endpoint reports of itself, past the fault proxy. */
    suspend fun load(): LoadReport = connect(address.toString()).get("/load", LoadReport.serializer())

    /** Puts [behaviour] in force. */
    suspend fun behave(behaviour: Behaviour) = control.put("/behaviour", Behaviour.serializer(), behaviour)

    /** Starts a new process at the same address, cold and with its counts at zero. */
    fun restart() {
        process.kill()
        process = launch()
    }
}
