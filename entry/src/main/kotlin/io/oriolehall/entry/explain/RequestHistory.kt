package io.oriolehall.entry.explain

import io.oriolehall.model.RequestId

/** Records of the newest requests, the oldest leaving when there are too many. Safe for use by several threads. */
class RequestHistory(private val capacity: Int = DEFAULT_CAPACITY) {
    private val records = LinkedHashMap<RequestId, RequestRecord>()

    /** Adds a record of a request that has just arrived. */
    fun open(record: RequestRecord): Unit = synchronized(records) {
        if (records.size >= capacity) records.remove(records.keys.first())
        records[record.requestId] = record
    }

    /** Replaces the record of [id] by what [change] makes of it; does nothing when it has left. */
    fun update(id: RequestId, change: (RequestRecord) -> RequestRecord): Unit = synchronized(records) {
        records.computeIfPresent(id) { _, record -> change(record) }
    }

    fun find(id: RequestId): RequestRecord? = synchronized(records) { records[id] }

    /** The newest [count] records, newest first. */
    fun newest(
        count: Int,
    ): List<RequestRecord> = synchronized(records) { records.values.toList().takeLast(count).reversed() }

    private companion object {
        const val DEFAULT_CAPACITY = 5_000
    }
}
