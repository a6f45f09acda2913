package io.oriolehall.harness.fleet

import io.oriolehall.model.Instance
import io.oriolehall.standins.platform.PlatformMode
import io.oriolehall.standins.platform.PlatformState
import io.oriolehall.standins.platform.PlatformStats
import kotlinx.serialization.builtins.ListSerializer

/** Drives the platform stand-in. */
class PlatformControl internal constructor(private val control: ControlHttp) {
    /** Publishes an instance list, which readers see after [lagMs] milliseconds. */
    suspend fun publishInstances(instances: List<Instance>, lagMs: Long = 0) =
        control.put("/instances?lagMs=$lagMs", ListSerializer(Instance.serializer()), instances)

    suspend fun setMode(state: PlatformState, ms: Long = 0) =
        control.put("/mode", PlatformMode.serializer(), PlatformMode(state, ms))

    /** Shows readers nothing that was published after [revision]. */
    suspend fun showUntil(revision: Int) =
        control.put("/mode", PlatformMode.serializer(), PlatformMode(PlatformState.STALE, revision = revision))

    suspend fun stats(): PlatformStats = control.get("/stats", PlatformStats.serializer())
}
