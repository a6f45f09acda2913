package io.oriolehall.dispatch.endpoints

import io.oriolehall.model.EndpointId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class EndpointLoadTest {
    private val loads = EndpointLoads()
    private val earlier = EndpointIncarnation(EndpointId("w"), 1)
    private val present = EndpointIncarnation(EndpointId("w"), 2)
    private val load = loads.of(present)

    /** Guards against a worker that gets no work because it counts the call that it answers as the work of others. */
    @Test
    fun `tasks of others delay a task for as long as they are expected to run, own tasks do not`() {
        load.onTaskStarted()
        load.onReport(LoadReport(running = 1, waiting = 0, slots = 1), nowMs = 0)
        load.onTaskEnded()
        expectThat(load.othersMs(taskMs = 400.0, nowMs = 0)).isEqualTo(0.0)
        load.onReport(LoadReport(running = 1, waiting = 1, slots = 1), nowMs = 0)
        expectThat(listOf(0L, 250L, 700L).map { load.othersMs(400.0, it) }).isEqualTo(listOf(600.0, 350.0, 0.0))
    }

    @Test
    fun `a report of an earlier incarnation changes nothing, and what is logged once is told once`() {
        val report = LoadReport(0, 0, 1, timeFactor = 1.0)
        expectThat(List(3) { loads.onUnreadable(present) }).isEqualTo(listOf(true, false, false))
        expectThat(List(3) { loads.onReport(present, report, nowMs = 0) }).isEqualTo(listOf(true, false, false))
        expectThat(loads.onReport(earlier, LoadReport(1, 5, 1, timeFactor = 9.0), nowMs = 10)).isEqualTo(true)
        expectThat(load.timeFactor to load.othersMs(400.0, 10)).isEqualTo(1.0 to 0.0)
    }
}
