package io.oriolehall.policy.orders

/**
 * Number of an order to an engine: the ticket behind the order, then a count of the orders for that ticket. A higher
 * ticket always has the higher number, and so has a later order for the same ticket whose sender knew the last one.
 */
@JvmInline
value class FencingNumber(val value: Long) : Comparable<FencingNumber> {
    /** Number of the ticket behind the order; 0 when there was none. */
    val ticket: Long get() = value / ORDERS_PER_TICKET

    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    override fun toString(): String = "$ticket.${value % ORDERS_PER_TICKET}"

    companion object {
        private const val ORDERS_PER_TICKET = 1L shl 20

        /** The number of an order for [ticket] after [last]; null when it would have to go back to a lower ticket. */
        fun next(ticket: Long, last: FencingNumber): FencingNumber? {
            val following = if (last.ticket < ticket) ticket * ORDERS_PER_TICKET + 1 else last.value + 1
            return FencingNumber(following).takeIf { it.ticket == ticket }
        }
    }
}
