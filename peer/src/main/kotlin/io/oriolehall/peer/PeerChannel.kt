package io.oriolehall.peer

import kotlinx.serialization.KSerializer
import kotlinx.serialization.serializer

/**
 * One kind of exchange between instances: its name on the wire and the types of a request and of each answer item.
 * Both ends declare the same channel; its name changes when a type changes in a way that old readers cannot take.
 */
class PeerChannel<Q, A>(
    val name: String,
    val requestSerializer: KSerializer<Q>,
    val answerSerializer: KSerializer<A>,
) {
    override fun toString(): String = name

    companion object {
        /** A channel whose serializers come from the types. */
        inline fun <reified Q, reified A> of(name: String): PeerChannel<Q, A> =
            PeerChannel(name, serializer<Q>(), serializer<A>())
    }
}
