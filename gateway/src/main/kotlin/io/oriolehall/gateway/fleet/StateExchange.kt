package io.oriolehall.gateway.fleet

import io.oriolehall.dispatch.config.ClockReading
import io.oriolehall.gateway.feed.PublishedState
import io.oriolehall.model.NetworkAddress
import io.oriolehall.peer.PeerClient

/**
 * Exchanges the published state and confirmations of the configuration with other instances. A confirmation is passed
 * on as an age, so that clocks need not agree. Used on the control thread only.
 */
internal class StateExchange(private val state: PublishedState, private val client: PeerClient) {
    /** Number of states that other instances have sent to this one. */
    var answers = 0L
        private set

    /**
     * Milliseconds since the configuration was last confirmed to be the newest; negative if it has not been, or too
     * long ago to be passed on.
     */
    fun confirmedAgoMs(): Long {
        val config = state.configHolder.current ?: return -1
        val now = state.now()
        return if (config.mayAcceptApiKeys(now, MAX_CONFIRMATION_AGE_MS)) now.ms - config.confirmedAt.ms else -1
    }

    /** Confirms the configuration if [answer], to a message sent at [sentAt], does. */
    fun confirmFrom(answer: FleetGossip, sentAt: ClockReading) {
        if (answer.confirmedAgoMs < 0) return
        answer.configStamp?.let { state.configHolder.confirm(it, sentAt.before(answer.confirmedAgoMs)) }
    }

    /**
     * Takes the state of the instance at [address] unless it is older; of an older one, only a newer configuration.
     * Returns true if the state was taken.
     */
    suspend fun fetchFrom(address: NetworkAddress): Boolean {
        val sentAt = state.now()
        val answer = client.call(address, FleetChannels.STATE, StateQuery(), FETCH_TIMEOUT_MS)
        if (answer.isErr) return false
        val agoMs = answer.value.confirmedAgoMs
        val readAt = if (agoMs < 0) sentAt.before(MAX_CONFIRMATION_AGE_MS) else sentAt.before(agoMs)
        val snapshot = answer.value.snapshot ?: return false
        answers++
        val taken = state.replace(snapshot, readAt, storeUninterrupted = true, source = "instance at $address")
        if (taken) state.adoptEraAge(snapshot.era, answer.value.eraAgeMs)
        return taken
    }

    private companion object {
        const val FETCH_TIMEOUT_MS = 1_000L

        /** Maximum age of a confirmation that is passed on, in milliseconds. API keys are suspended at a lower age. */
        const val MAX_CONFIRMATION_AGE_MS = 10_000L
    }
}
