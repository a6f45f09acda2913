package io.oriolehall.standins.weights

import io.ktor.http.ContentType
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.utils.io.writeFully
import io.oriolehall.standins.respondJson

/** What engines call: `GET /weights/{model}/{version}`. */
internal fun Route.weightRoutes(store: WeightStore) {
    get("/weights/{model}/{version}") {
        val name = "${call.parameters["model"]}/${call.parameters["version"]}"
        call.respondBytesWriter(ContentType.Application.OctetStream) {
            store.fetch(name) {
                writeFully(it)
                flush()
            }
        }
    }
}

/** What tests call to read the counts. */
internal fun Route.weightControlRoutes(store: WeightStore) {
    get("/stats") { call.respondJson(WeightStats.serializer(), store.stats()) }
}
