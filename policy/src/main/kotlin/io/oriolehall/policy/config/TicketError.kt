package io.oriolehall.policy.config

/** Why a ticket is rejected. The verdict depends on the ticket's text alone, so every instance reaches the same one. */
sealed interface TicketError {
    /** What is wrong and what the operator should do. */
    val message: String

    /** The text is longer than [limit] bytes. */
    data class TooLarge(val bytes: Int, val limit: Int) : TicketError {
        override val message get() = "ticket of $bytes bytes is over $limit; split its objects over several tickets"
    }

    /** The text is not a ticket in JSON. */
    data class Malformed(val detail: String) : TicketError {
        override val message get() = "not a ticket: $detail; correct the JSON and publish it again"
    }

    /** A field of the ticket itself is out of range. */
    data class BadField(val field: String, val remedy: String) : TicketError {
        override val message get() = "field $field is not valid: $remedy"
    }

    /** Two objects of the ticket have one key. */
    data class DuplicateObject(val key: String) : TicketError {
        override val message get() = "object $key appears twice; keep the one that states its whole new state"
    }

    /** An object cannot be put in force. */
    data class BadObject(val key: String, val remedy: String) : TicketError {
        override val message get() = "object $key is not valid: $remedy"
    }
}
