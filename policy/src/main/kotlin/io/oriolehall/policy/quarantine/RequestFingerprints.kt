package io.oriolehall.policy.quarantine

/** What the end of an endpoint may be attributed to: the request that it ran, or a part of the request's prompt. */
class RequestFingerprints(val request: Fingerprint, promptParts: List<Fingerprint>) {
    val all: List<Fingerprint> = promptParts + request
}
