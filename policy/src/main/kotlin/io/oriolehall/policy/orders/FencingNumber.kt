package io.oriolehall.policy.orders

/**
 * Fencing number of an order to an engine. It combines the number of the order's ticket with a counter of the orders
 * for that ticket. An order for a higher ticket always has a higher number. So has a later order for the same ticket,
 * if its sender had received the number of the previous one.
 */
@JvmInline
value class FencingNumber(val value: Long) : Comparable<FencingNumber> {
    /** Number of the ticket that the order carries out; 0 if there was no order yet. */
    val ticket: Long get() = value / ORDERS_PER_TICKET

    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    override fun toString(): String = "$ticket.${value % ORDERS_PER_TICKET}"

    companion object {
        private const val ORDERS_PER_TICKET = 1L shl 20

        /** The number of the next order for [ticket] after [last]; null if [last] belongs to a higher ticket. */
        fun next(ticket: Long, last: FencingNumber): FencingNumber? {
            val nextValue = if (last.ticket < ticket) ticket * ORDERS_PER_TICKET + 1 else last.value + 1
            return FencingNumber(nextValue).takeIf { it.ticket == ticket }
        }
    }
}
