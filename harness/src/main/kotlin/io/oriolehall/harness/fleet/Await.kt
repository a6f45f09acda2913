package io.oriolehall.harness.fleet

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

private const val POLL_MS = 25L

/**
 * Waits until [condition] holds.
 *
 * @param timeoutMs milliseconds after which it fails.
 * @param what what is waited for, for the message.
 */
suspend fun awaitThat(what: String, timeoutMs: Long = 30_000, condition: suspend () -> Boolean) {
    val held = withTimeoutOrNull(timeoutMs) {
        while (!condition()) delay(POLL_MS)
        true
    }
    check(held == true) { "did not hold within $timeoutMs ms: $what" }
}
