package io.oriolehall.harness.fleet

import io.oriolehall.standins.weights.WeightStats

/** Reads the counts of the weight store stand-in. */
class WeightStoreControl internal constructor(private val control: ControlHttp) {
    suspend fun stats(): WeightStats = control.get("/stats", WeightStats.serializer())
}
