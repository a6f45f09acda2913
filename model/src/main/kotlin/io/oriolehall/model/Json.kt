package io.oriolehall.model

import kotlinx.serialization.json.Json

/** JSON as the system writes it and reads it: unknown fields of other programs are ignored, defaults are written. */
val WireJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
    classDiscriminator = "kind"
}

/** JSON for input that people write, such as tickets: an unknown field is an error. */
val StrictJson: Json = Json {
    classDiscriminator = "kind"
    encodeDefaults = true
}
