package io.oriolehall.harness.fleet

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import io.oriolehall.entry.InstanceStatus
import io.oriolehall.entry.explain.RequestRecord
import io.oriolehall.harness.process.LaunchedProcess
import io.oriolehall.model.Instance
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.RequestId
import io.oriolehall.model.WireJson
import io.oriolehall.runtime.AuditRecord
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.builtins.ListSerializer
import java.nio.file.Path

/** Addresses of an entry instance, chosen before it starts so that it keeps them when it is replaced. */
data class EntryPorts(val callers: NetworkAddress, val operators: NetworkAddress, val peers: NetworkAddress)

/** An entry instance of a running fleet. */
class EntryProcess internal constructor(
    val spec: EntrySpec,
    val ports: EntryPorts,
    val settingsFile: Path,
    process: LaunchedProcess,
    private val http: HttpClient,
    private val launch: () -> LaunchedProcess,
) {
    /** The process that runs now, or the last one that ran. */
    var process: LaunchedProcess = process
        private set

    /** The instance as the platform lists it. */
    val published = Instance(spec.id, spec.zone, ports.peers)

    /** Replaces the process by a new one with the same settings. The old one is killed if it still runs. */
    fun restart() {
        process.kill()
        process = launch()
    }

    /** True when the instance says that it is ready; false when it does not, or cannot be reached. */
    suspend fun ready(): Boolean = try {
        http.get("http://${ports.operators}/ready").status.isSuccess()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        false
    }

    suspend fun status(): InstanceStatus =
        WireJson.decodeFromString(InstanceStatus.serializer(), operators("/status"))

    /** What happened to request [id]; null when the instance has no record of it. */
    suspend fun explain(id: RequestId): RequestRecord? {
        val response = http.get("http://${ports.operators}/explain/${id.value}")
        if (!response.status.isSuccess()) return null
        return WireJson.decodeFromString(RequestRecord.serializer(), response.bodyAsText())
    }

    suspend fun audit(): List<AuditRecord> =
        WireJson.decodeFromString(ListSerializer(AuditRecord.serializer()), operators("/audit"))

    /** Body of a page of the operators' interface, such as `/metrics`. */
    suspend fun operators(path: String): String = http.get("http://${ports.operators}$path").bodyAsText()
}
