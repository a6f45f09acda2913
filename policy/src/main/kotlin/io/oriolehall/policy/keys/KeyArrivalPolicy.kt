package io.oriolehall.policy.keys

/**
 * Decides how a process handles a request that arrives with an idempotency key.
 *
 * @param self the process that received the request.
 */
class KeyArrivalPolicy(private val self: KeyHolder, private val rules: KeyRules) {
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
    ): ArrivalDecision = when {
        relayedTo != null && relayedTo != self -> ArrivalDecision.HolderLost
        record != null -> decideKnown(record, digest, nowMs, relayedTo)
        rules.expired(key.bornAtMs, nowMs) -> ArrivalDecision.Expired
        else -> decideNew(key, digest, relayedTo)
    }

    private fun decideNew(
        key: IdempotencyKey,
        digest: RequestDigest,
        relayedTo: KeyHolder?,
    ): ArrivalDecision = when (key) {
        is IdempotencyKey.Token -> decideNewToken(key, digest)

        is IdempotencyKey.CallerMade ->
            if (relayedTo == null) begin(key, digest, KeyState.Claiming) else ArrivalDecision.HolderLost
    }

    private fun decideNewToken(key: IdempotencyKey.Token, digest: RequestDigest): ArrivalDecision {
        val holder = key.content.holder
        return when {
            holder == self -> begin(key, digest, KeyState.Held())
            holder.instance == self.instance && holder.peerAddress == self.peerAddress -> ArrivalDecision.HolderLost
            else -> ArrivalDecision.Relay(holder)
        }
    }

    private fun begin(key: IdempotencyKey, digest: RequestDigest, state: KeyState) =
        ArrivalDecision.Begin(KeyRecord(digest, key.bornAtMs, state))

    private fun decideKnown(
        record: KeyRecord,
        digest: RequestDigest,
        nowMs: Long,
        relayedTo: KeyHolder?,
    ): ArrivalDecision = when {
        record.state is KeyState.HeldElsewhere ->
            if (relayedTo == null) ArrivalDecision.Relay(record.state.holder) else ArrivalDecision.HolderLost

        record.state == KeyState.Unclaimed -> reclaim(record.copy(digest = digest), nowMs, relayedTo)

        record.digest != digest -> ArrivalDecision.Reused(knownNotRun = record.isHolder)

        else -> ArrivalDecision.Join
    }

    private fun reclaim(record: KeyRecord, nowMs: Long, relayedTo: KeyHolder?): ArrivalDecision = when {
        relayedTo != null -> ArrivalDecision.HolderLost
        rules.expired(record.bornAtMs, nowMs) -> ArrivalDecision.Expired
        else -> ArrivalDecision.Begin(record.copy(state = KeyState.Claiming))
    }
}
