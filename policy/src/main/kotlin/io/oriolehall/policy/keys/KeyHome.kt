package io.oriolehall.policy.keys

/**
 * Decides how a process handles a request that arrives with an idempotency key.
 *
 * @param self the process that received the request.
 */
class KeyHome(private val self: KeyHolder, private val rules: KeyRules) {
    /**
     * Returns what to do with a request with [key] that arrived at [nowMs].
     *
     * @param digest digest of the arriving request.
     * @param record the record that this process has of the key, or null.
     * @param relayedTo the holder to which another instance relayed the request, or null when it came directly from the
     *   caller.
     */
    fun decide(
        key: IdempotencyKey,
        digest: RequestDigest,
        record: KeyRecord?,
        nowMs: Long,
        relayedTo: KeyHolder? = null,
    ): Arrival = when {
        relayedTo != null && relayedTo != self -> Arrival.HolderLost
        record != null -> decideKnown(record, digest, nowMs, relayedTo)
        rules.expired(key.bornAtMs, nowMs) -> Arrival.Expired
        else -> decideNew(key, digest, relayedTo)
    }

    private fun decideNew(key: IdempotencyKey, digest: RequestDigest, relayedTo: KeyHolder?): Arrival = when (key) {
        is IdempotencyKey.Token -> decideNewToken(key, digest)

        is IdempotencyKey.CallerMade ->
            if (relayedTo == null) begin(key, digest, KeyState.Claiming) else Arrival.HolderLost
    }

    private fun decideNewToken(key: IdempotencyKey.Token, digest: RequestDigest): Arrival {
        val home = key.content.home
        return when {
            home == self -> begin(key, digest, KeyState.Held())
            home.instance == self.instance && home.peerAddress == self.peerAddress -> Arrival.HolderLost
            else -> Arrival.Relay(home)
        }
    }

    private fun begin(key: IdempotencyKey, digest: RequestDigest, state: KeyState) =
        Arrival.Begin(KeyRecord(digest, key.bornAtMs, state))

    private fun decideKnown(
        record: KeyRecord,
        digest: RequestDigest,
        nowMs: Long,
        relayedTo: KeyHolder?,
    ): Arrival = when {
        record.state is KeyState.Yielded ->
            if (relayedTo == null) Arrival.Relay(record.state.holder) else Arrival.HolderLost

        record.state == KeyState.Unclaimed -> reclaim(record.copy(digest = digest), nowMs, relayedTo)

        record.digest != digest -> Arrival.Reused(certain = record.isHolder)

        else -> Arrival.Join
    }

    private fun reclaim(record: KeyRecord, nowMs: Long, relayedTo: KeyHolder?): Arrival = when {
        relayedTo != null -> Arrival.HolderLost
        rules.expired(record.bornAtMs, nowMs) -> Arrival.Expired
        else -> Arrival.Begin(record.copy(state = KeyState.Claiming))
    }
}
