package io.oriolehall.policy.keys

/**
 * Decides what an arriving request with a key leads to at one process.
 *
 * @param self this process.
 */
class KeyHome(private val self: KeyHolder, private val rules: KeyRules) {
    /**
     * @param record what this process remembers of the key, or null.
     * @param relayedTo the holder that a relaying instance meant to reach, or null when the caller sent it here.
     */
    fun arrive(
        key: IdempotencyKey,
        digest: RequestDigest,
        record: KeyRecord?,
        nowMs: Long,
        relayedTo: KeyHolder? = null,
    ): Arrival = when {
        relayedTo != null && relayedTo != self -> Arrival.HolderLost
        record != null -> arriveAgain(record, digest, nowMs, relayedTo)
        rules.expired(key.bornAtMs, nowMs) -> Arrival.Expired
        else -> arriveFirst(key, digest, relayedTo)
    }

    private fun arriveFirst(key: IdempotencyKey, digest: RequestDigest, relayedTo: KeyHolder?): Arrival = when (key) {
        is IdempotencyKey.Token -> arriveWithToken(key, digest)

        is IdempotencyKey.CallerMade ->
            if (relayedTo == null) begin(key, digest, KeyState.Claiming) else Arrival.HolderLost
    }

    private fun arriveWithToken(key: IdempotencyKey.Token, digest: RequestDigest): Arrival {
        val home = key.content.home
        return when {
            home == self -> begin(key, digest, KeyState.Held())
            home.instance == self.instance && home.peerAddress == self.peerAddress -> Arrival.HolderLost
            else -> Arrival.Relay(home)
        }
    }

    private fun begin(key: IdempotencyKey, digest: RequestDigest, state: KeyState) =
        Arrival.Begin(KeyRecord(digest, key.bornAtMs, state))

    private fun arriveAgain(
        record: KeyRecord,
        digest: RequestDigest,
        nowMs: Long,
        relayedTo: KeyHolder?,
    ): Arrival = when {
        record.state is KeyState.Yielded ->
            if (relayedTo == null) Arrival.Relay(record.state.holder) else Arrival.HolderLost

        record.state == KeyState.Unclaimed -> claimAgain(record.copy(digest = digest), nowMs, relayedTo)

        record.digest != digest -> Arrival.Reused(certain = record.holds)

        else -> Arrival.Join
    }

    private fun claimAgain(record: KeyRecord, nowMs: Long, relayedTo: KeyHolder?): Arrival = when {
        relayedTo != null -> Arrival.HolderLost
        rules.expired(record.bornAtMs, nowMs) -> Arrival.Expired
        else -> Arrival.Begin(record.copy(state = KeyState.Claiming))
    }
}
