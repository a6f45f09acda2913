package io.oriolehall.entry.keys

import io.oriolehall.model.InstanceId
import io.oriolehall.model.WitnessRoster
import io.oriolehall.policy.config.ConfigSnapshot
import io.oriolehall.policy.keys.ClaimRequest
import io.oriolehall.policy.keys.KeyRules
import io.oriolehall.policy.keys.WitnessAnswer
import io.oriolehall.policy.keys.WitnessStatus
import io.oriolehall.policy.keys.WitnessTable

/** This instance as a witness: its grants, and since when it has known the roster. */
internal class WitnessService(
    private val config: () -> ConfigSnapshot,
    private val rules: KeyRules,
    private val clock: KeyClock,
) {
    private val table = WitnessTable(rules)
    private val startedAtMs = clock.nowMs()

    @Volatile
    private var adopted = Adopted(emptyList(), startedAtMs)

    /** False while keys that are made now could have been granted before this process remembers. */
    val vouchesForNewKeys: Boolean get() = clock.nowMs() > status(observeRoster().ticket).recoveryEndsAtMs(rules)

    /** The roster in force and the ticket that put it there. */
    fun roster(): RosterInForce {
        val inForce = config().objects[ROSTER_KEY] ?: return RosterInForce(0, WitnessRoster(emptyList()))
        return RosterInForce(inForce.ticket, inForce.state as WitnessRoster)
    }

    /** Judges [request]. */
    fun judge(request: ClaimRequest): WitnessAnswer {
        val roster = observeRoster()
        return table.claim(request, status(roster.ticket), clock.nowMs())
    }

    /** Notes when the names in the roster change, and removes expired grants. */
    fun maintain() {
        observeRoster()
        table.removeExpired(clock.nowMs())
    }

    private fun status(rosterTicket: Long) = WitnessStatus(startedAtMs, rosterTicket, adopted.sinceMs)

    private fun observeRoster(): RosterInForce = synchronized(this) {
        val roster = roster()
        if (roster.roster.instances != adopted.names) adopted = Adopted(roster.roster.instances, clock.nowMs())
        return roster
    }

    private data class Adopted(val names: List<InstanceId>, val sinceMs: Long)

    private companion object {
        val ROSTER_KEY = WitnessRoster(emptyList()).key
    }
}

/** A roster and the number of the ticket that put it in force; 0 for none. */
internal data class RosterInForce(val ticket: Long, val roster: WitnessRoster)
