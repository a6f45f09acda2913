package io.oriolehall.peer

import kotlinx.serialization.KSerializer
import kotlinx.serialization.serializer

/**
 * A kind of exchange between instances: its name on the wire and the types of the request and of each answer item.
 * Client and server declare the same channel. A type change that older instances cannot decode requires a new name.
 */
class PeerChannel<Q, A>(
    val name: String,
    val requestSerializer: KSerializer<Q>,
    val answerSerializer: KSerializer<A>,
) {
    override fun toString(): String = name

    companion object {
        /** Creates a channel that uses the default serializers of [Q] and [A]. */
        inline fun <reified Q, reified A> of(name: String): PeerChannel<Q, A> =
            PeerChannel(name, serializer<Q>(), serializer<A>())
    }
}
