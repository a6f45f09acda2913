package io.oriolehall.gateway.stages

import io.oriolehall.dispatch.endpoints.EndpointRecord
import io.oriolehall.dispatch.endpoints.EndpointSnapshot
import io.oriolehall.dispatch.stages.PieceWork
import io.oriolehall.gateway.path.GatewayUnderTest
import io.oriolehall.gateway.upstream.EndpointAccess
import io.oriolehall.gateway.wire.PieceOutcome
import io.oriolehall.gateway.wire.StageCallCodec
import io.oriolehall.runtime.EventLog
import kotlinx.collections.immutable.persistentMapOf

/** Encodes a call as the number of its pieces, and decodes any answer as a single result. */
internal object PieceCountCodec : StageCallCodec {
    override val runPath = "/run"
    override val releasePath = "/free"
    override val contentType = "text/plain"

    override fun encodeRun(pieces: List<PieceWork>, nowMs: Long) = "${pieces.size}".encodeToByteArray()

    override fun decodeRun(body: ByteArray): List<PieceOutcome> = listOf(PieceOutcome.Done("h"))

    override fun encodeRelease(handles: List<String>) = ByteArray(0)
}

internal fun stageRequest(id: String) = StageRequest(
    service = "s",
    requestId = id,
    stage = 0,
    pieces = 1,
    key = "k",
    resultBytes = 1,
    objectiveInMs = 20_000,
    deadlineInMs = 30_000,
    priority = 0,
)

/** Access to [endpoint], the only registered one. */
internal fun openAccess(endpoint: EndpointRecord): EndpointAccess {
    val snapshot = EndpointSnapshot(persistentMapOf(endpoint.id to endpoint))
    return EndpointAccess({ snapshot }, GatewayUnderTest.HEADERS.leaving, EventLog { _, _ -> })
}
