package io.oriolehall.entry.answers

import io.oriolehall.model.Refusal
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A part of an answer on its way to the caller, also as one instance sends it to another. */
@Serializable
sealed interface AnswerItem {
    /** Text that starts at byte [offset] of the UTF-8 answer. */
    @Serializable
    @SerialName("chunk")
    data class Chunk(val offset: Long, val text: String) : AnswerItem

    /** The whole answer has been sent: [length] bytes with the lower-case hex SHA-256 [sha256]. */
    @Serializable
    @SerialName("end")
    data class End(val length: Long, val sha256: String) : AnswerItem

    /** The answer cannot be finished. */
    @Serializable
    @SerialName("refused")
    data class Refused(val refusal: Refusal) : AnswerItem
}
