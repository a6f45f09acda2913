package io.oriolehall.model

import kotlinx.serialization.json.Json

/** JSON exchanged with other programs: unknown fields are ignored and default values are written. */
val WireJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
    classDiscriminator = "kind"
}

/** JSON written by people, such as tickets: unknown fields are errors. */
val StrictJson: Json = Json {
    classDiscriminator = "kind"
    encodeDefaults = true
}
