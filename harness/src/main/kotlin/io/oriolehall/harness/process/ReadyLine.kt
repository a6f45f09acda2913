package io.oriolehall.harness.process

import kotlinx.serialization.Serializable

/** The line that a process prints on its standard output once it serves. */
@Serializable
data class ReadyLine(
    val ready: Boolean,
    val id: String,
    val address: String,
    val control: String? = null,
    val operators: String? = null,
    val peers: String? = null,
)
