package io.oriolehall.dispatch.endpoints

/**
 * The reported loads of endpoints, one for each incarnation: a report of an earlier incarnation does not change what is
 * known of the present one. Not thread-safe.
 */
class EndpointLoads {
    private class Entry {
        val load = EndpointLoad()
        var unreadableSeen = false
        var timeFactorSeen = false
    }

    private val entries = HashMap<EndpointIncarnation, Entry>()

    private fun entryOf(incarnation: EndpointIncarnation) = entries.getOrPut(incarnation) { Entry() }

    fun of(incarnation: EndpointIncarnation): EndpointLoad = entryOf(incarnation).load

    /** Records [report]. Returns true if it is the first of [incarnation] with a time factor. */
    fun onReport(incarnation: EndpointIncarnation, report: LoadReport, nowMs: Long): Boolean {
        val entry = entryOf(incarnation)
        entry.load.onReport(report, nowMs)
        if (report.timeFactor == null) return false
        return !entry.timeFactorSeen.also { entry.timeFactorSeen = true }
    }

    /** Records a response without a report. */
    fun onNoReport(incarnation: EndpointIncarnation) {
        entries[incarnation]?.load?.onNoReport()
    }

    /** Records a report that cannot be read; it changes nothing. Returns true if it is the first of [incarnation]. */
    fun onUnreadable(incarnation: EndpointIncarnation): Boolean {
        val entry = entryOf(incarnation)
        return !entry.unreadableSeen.also { entry.unreadableSeen = true }
    }

    /**
     * Forgets incarnations that are followed by another one in [snapshot]. One that is only missing is kept while there
     * is room: it may register again, and stage workers hold its load.
     */
    fun removeObsolete(snapshot: EndpointSnapshot) {
        val full = entries.size > MAX_KEPT
        entries.keys.removeIf {
            val registered = snapshot.endpoints[it.id]
            if (registered == null) full else registered.startedAtMs != it.startedAtMs
        }
    }

    private companion object {
        const val MAX_KEPT = 4_096
    }
}
