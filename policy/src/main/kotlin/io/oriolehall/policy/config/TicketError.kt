package io.oriolehall.policy.config

/** Why a ticket is rejected. It depends only on the text of the ticket, so all instances reject the same tickets. */
sealed interface TicketError {
    /** Description of the error and of what the operator should do. */
    val message: String

    /** The text is longer than [limit] bytes. */
    data class TooLarge(val bytes: Int, val limit: Int) : TicketError {
        override val message get() = "ticket of $bytes bytes exceeds $limit; split its objects into several tickets"
    }

    /** The text is not the JSON of a ticket. */
    data class Malformed(val detail: String) : TicketError {
        override val message get() = "not a ticket: $detail; correct the JSON and publish it again"
    }

    /** A field of the ticket itself is out of range. */
    data class BadField(val field: String, val remedy: String) : TicketError {
        override val message get() = "field $field is not valid: $remedy"
    }

    /** Two objects of the ticket have the same key. */
    data class DuplicateObject(val key: String) : TicketError {
        override val message get() = "object $key appears twice; keep only the entry with its complete new state"
    }

    /** An object of the ticket is invalid. */
    data class BadObject(val key: String, val remedy: String) : TicketError {
        override val message get() = "object $key is not valid: $remedy"
    }
}
