package io.oriolehall.standins.endpoint

import kotlinx.coroutines.Job

/** The streams that can be read again: all running ones and the newest ended ones. */
internal class StreamRegistry(private val counters: EndpointCounters) {
    private val entries = LinkedHashMap<String, Entry>()

    @Synchronized
    fun add(stream: GeneratedStream, job: Job) {
        entries[stream.id] = Entry(stream, job)
        if (entries.size > KEPT) {
            val ended = entries.values.filter { it.stream.ended }.take(entries.size - KEPT)
            ended.forEach { entries.remove(it.stream.id) }
        }
    }

    @Synchronized
    fun find(id: String): GeneratedStream? = entries[id]?.stream

    /** Stops and forgets stream [id]; its readers fail. */
    @Synchronized
    fun cancel(id: String) {
        val entry = entries.remove(id) ?: return
        if (!entry.stream.ended) counters.cancelled()
        entry.job.cancel()
        entry.stream.breakOff()
    }

    /** Forgets [stream], whose readers fail. */
    @Synchronized
    fun forget(stream: GeneratedStream) {
        if (entries[stream.id]?.stream === stream) entries.remove(stream.id)
        stream.breakOff()
    }

    private class Entry(val stream: GeneratedStream, val job: Job)

    private companion object {
        const val KEPT = 256
    }
}
