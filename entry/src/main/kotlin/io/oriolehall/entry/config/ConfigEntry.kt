package io.oriolehall.entry.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.oriolehall.model.ConfigObject
import io.oriolehall.model.StrictJson
import io.oriolehall.policy.config.VersionedObject
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/**
 * A version of an object as instances pass it on. The object stays in the JSON of its ticket, so that an instance that
 * does not understand it turns it away instead of taking in a part of it.
 */
@Serializable
data class ConfigEntry(
    val ticket: Long,
    val revision: Long,
    val digest: String,
    val author: String,
    val cause: String,
    val text: String,
) {
    /** The version, or why this instance cannot read it. */
    fun toVersion(): Result<VersionedObject, String> = try {
        val state = StrictJson.decodeFromString(ConfigObject.serializer(), text)
        Ok(VersionedObject(ticket, state, revision, digest, author, cause))
    } catch (e: SerializationException) {
        Err("ticket $ticket holds an object that this instance cannot read; upgrade the instance: ${e.message}")
    }

    companion object {
        fun of(version: VersionedObject) = ConfigEntry(
            ticket = version.ticket,
            revision = version.revision,
            digest = version.digest,
            author = version.author,
            cause = version.cause,
            text = StrictJson.encodeToString(ConfigObject.serializer(), version.state),
        )
    }
}
