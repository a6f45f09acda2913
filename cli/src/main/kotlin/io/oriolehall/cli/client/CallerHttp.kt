package io.oriolehall.cli.client

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint

private const val CONNECT_TIMEOUT_MS = 2_000L
private const val MAX_CONNECTIONS = 2_000

/** Creates an HTTP client for [CallerClient]. It has no request timeout, so that long answers are not cut off. */
fun callerHttp(): HttpClient = HttpClient(CIO) {
    expectSuccess = false
    engine {
        requestTimeout = 0
        maxConnectionsCount = MAX_CONNECTIONS
        endpoint {
            connectTimeout = CONNECT_TIMEOUT_MS
            connectAttempts = 1
            maxConnectionsPerRoute = MAX_CONNECTIONS
        }
    }
}
