package io.oriolehall.runtime

import kotlinx.serialization.Serializable

/**
 * A change to the state or behaviour of this instance.
 *
 * @property atMs wall-clock time in milliseconds since the epoch.
 * @property actor who or what caused the change: an operator, a peer, a timer, the platform.
 * @property subject what changed, such as an object's key.
 * @property ticket number of the change ticket that led to the change, if any.
 */
@Serializable
data class AuditRecord(
    val atMs: Long,
    val instance: String,
    val actor: String,
    val subject: String,
    val cause: String,
    val ticket: Long? = null,
    val before: String? = null,
    val after: String? = null,
)

/** The most recent changes of this instance, kept in memory and written to the log. Thread-safe. */
class AuditTrail(
    private val instance: String,
    private val timers: TimerService,
    private val log: EventLog,
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val records = ArrayDeque<AuditRecord>()

    /** Adds a record. When the trail is full, the oldest record is removed. */
    fun record(
        actor: String,
        subject: String,
        cause: String,
        ticket: Long? = null,
        before: String? = null,
        after: String? = null,
    ) {
        val record = AuditRecord(timers.wallClockMs(), instance, actor, subject, cause, ticket, before, after)
        synchronized(records) {
            if (records.size >= capacity) records.removeFirst()
            records.addLast(record)
        }
        log.write(
            Event.CHANGE_RECORDED,
            "actor" to actor,
            "subject" to subject,
            "cause" to cause,
            "ticket" to ticket,
            "before" to before,
            "after" to after,
        )
    }

    /** The retained records, oldest first. */
    fun records(): List<AuditRecord> = synchronized(records) { records.toList() }

    private companion object {
        const val DEFAULT_CAPACITY = 2_000
    }
}
