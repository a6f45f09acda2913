package io.oriolehall.harness.demo

import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.process.LaunchedProcess
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path

/** A process of the demo: what it is and where it can be reached. */
@Serializable
data class ProcessEntry(
    val role: String,
    val zone: String,
    val id: String,
    val pid: Long,
    val addresses: Map<String, String>,
    val log: String,
)

/** Credentials of an organisation. */
@Serializable
data class OrganisationEntry(val id: String, val secret: String)

/** Everything that is needed to drive the demo's fleet by hand; written to addresses.json. */
@Serializable
data class AddressBook(
    val deployment: String,
    val pipelines: List<String>,
    val organisations: List<OrganisationEntry>,
    val processes: List<ProcessEntry>,
) {
    fun write(file: Path) {
        Files.createDirectories(file.parent)
        Files.writeString(file, Pretty.encodeToString(serializer(), this))
    }

    companion object {
        private val Pretty = Json { prettyPrint = true }

        /** The address book of [fleet]. */
        fun of(deployment: Deployment, fleet: Fleet) = AddressBook(
            deployment = deployment.name.lowercase(),
            pipelines = fleet.spec.pipelines.map { it.id.value },
            organisations = fleet.spec.organisations.map { OrganisationEntry(it.organisation.id.value, it.secret) },
            processes = standins(fleet) + entries(fleet) + endpoints(fleet),
        )

        private fun standins(fleet: Fleet) = listOfNotNull(
            entry("configuration-and-instance-list", "", fleet.platformProcess),
            fleet.proxyProcess?.let { entry("fault-proxy", "", it) },
        )

        private fun entries(fleet: Fleet) = fleet.entries.map {
            entry("entry", it.spec.zone.value, it.process)
        }

        private fun endpoints(fleet: Fleet) = fleet.endpoints.map {
            entry(it.spec.kind.name.lowercase(), it.spec.zone.value, it.process)
        }

        private fun entry(role: String, zone: String, process: LaunchedProcess) = ProcessEntry(
            role = role,
            zone = zone,
            id = process.id,
            pid = process.pid,
            addresses = listOf(
                "serves" to process.ready.address,
                "control" to process.ready.control,
                "operators" to process.ready.operators,
                "peers" to process.ready.peers,
            ).mapNotNull { (name, address) -> address?.let { name to it } }.toMap(),
            log = process.errorLog.toString(),
        )
    }
}
