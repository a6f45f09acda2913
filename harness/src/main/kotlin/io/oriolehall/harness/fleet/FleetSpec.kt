package io.oriolehall.harness.fleet

import io.oriolehall.harness.process.ProgramSpec
import io.oriolehall.model.ConfigObject
import io.oriolehall.model.EndpointId
import io.oriolehall.model.InstanceId
import io.oriolehall.model.Organisation
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.Pipeline
import io.oriolehall.model.PipelineId
import io.oriolehall.model.PoolId
import io.oriolehall.model.Stage
import io.oriolehall.model.StageKind
import io.oriolehall.model.ZoneId
import java.security.MessageDigest

/** An endpoint to start. [arguments] go to the stand-in's command line, such as `--service-ms 5`. */
data class EndpointSpec(
    val id: EndpointId,
    val zone: ZoneId,
    val pool: PoolId,
    val kind: StageKind,
    val coldLimit: Int,
    val warmLimit: Int,
    val fenced: Boolean,
    val arguments: List<String>,
)

/** An entry instance to start. */
data class EntrySpec(val id: InstanceId, val zone: ZoneId)

/** An organisation of the fleet with its secret in the clear, for callers. */
data class OrganisationSpec(val organisation: Organisation, val secret: String)

/** A line of the entry instances' settings beyond those that the harness writes. */
data class SettingsLine(val section: String, val key: String, val value: String)

/** Which processes a fleet has and what its first ticket states. */
data class FleetSpec(
    val name: String,
    val proxied: Boolean,
    val entryHeapMb: Int,
    val endpointHeapMb: Int,
    val jvmOptions: List<String>,
    val dataSet: String,
    val platformArguments: List<String>,
    val weightArguments: List<String>?,
    val zones: List<ZoneId>,
    val entries: List<EntrySpec>,
    val endpoints: List<EndpointSpec>,
    val organisations: List<OrganisationSpec>,
    val pipelines: List<Pipeline>,
    val objects: List<ConfigObject>,
    val settings: List<SettingsLine>,
)

@DslMarker
annotation class FleetDsl

/** Describes a fleet: `fleetSpec("path") { zone("z1") { entries(3) } }`. */
fun fleetSpec(name: String, describe: FleetBuilder.() -> Unit): FleetSpec = FleetBuilder(name).apply(describe).build()

/** Builder of a [FleetSpec]. */
@FleetDsl
class FleetBuilder internal constructor(private val name: String) {
    private val zones = mutableListOf<ZoneBuilder>()
    private val organisations = mutableListOf<OrganisationSpec>()
    private val pipelines = mutableListOf<Pipeline>()
    private val objects = mutableListOf<ConfigObject>()
    private val settings = mutableListOf<SettingsLine>()

    /** True puts the fault proxy between the processes. */
    var proxied = false
    var entryHeapMb = 64
    var endpointHeapMb = 48

    /** Options of the Java machines besides the heap. */
    var jvmOptions = ProgramSpec.QuickStart

    /** Documents and stock of the endpoints: kimono or lemn. */
    var dataSet = "kimono"

    /** Further arguments of the platform stand-in. */
    var platformArguments = emptyList<String>()

    /** Arguments of the weight store from which engines load, or null to have none. */
    var weightArguments: List<String>? = null

    fun zone(id: String, describe: ZoneBuilder.() -> Unit) {
        zones += ZoneBuilder(ZoneId(id)).apply(describe)
    }

    fun organisation(id: String, secret: String = "secret-of-$id", share: Int = 1, defaultDeadlineMs: Long = 4_000) {
        val organisation = Organisation(OrganisationId(id), listOf(sha256Hex(secret)), share, defaultDeadlineMs)
        organisations += OrganisationSpec(organisation, secret)
    }

    fun pipeline(id: String, describe: PipelineBuilder.() -> Unit) {
        pipelines += Pipeline(PipelineId(id), PipelineBuilder().apply(describe).stages)
    }

    /** Adds an object to the first ticket. */
    fun state(state: ConfigObject) {
        objects += state
    }

    /** Adds a line to the settings of each entry instance. */
    fun setting(section: String, key: String, value: String) {
        settings += SettingsLine(section, key, value)
    }

    internal fun build() = FleetSpec(
        name = name,
        proxied = proxied,
        entryHeapMb = entryHeapMb,
        endpointHeapMb = endpointHeapMb,
        jvmOptions = jvmOptions,
        dataSet = dataSet,
        platformArguments = platformArguments,
        weightArguments = weightArguments,
        zones = zones.map { it.id },
        entries = zones.flatMap { it.entries },
        endpoints = zones.flatMap { it.endpoints },
        organisations = organisations.toList(),
        pipelines = pipelines.toList(),
        objects = objects.toList(),
        settings = settings.toList(),
    )
}

/** Builder of a zone's processes. */
@FleetDsl
class ZoneBuilder internal constructor(internal val id: ZoneId) {
    internal val entries = mutableListOf<EntrySpec>()
    internal val endpoints = mutableListOf<EndpointSpec>()

    /** Adds [count] entry instances, named `entry-ZONE-1` and so on. */
    fun entries(count: Int) = repeat(count) {
        entries += EntrySpec(InstanceId("entry-$id-${entries.size + 1}"), id)
    }

    fun endpoint(
        id: String,
        pool: String,
        kind: StageKind,
        coldLimit: Int = 2,
        warmLimit: Int = 16,
        fenced: Boolean = false,
        arguments: List<String> = emptyList(),
    ) {
        endpoints +=
            EndpointSpec(EndpointId(id), this.id, PoolId(pool), kind, coldLimit, warmLimit, fenced, arguments)
    }
}

/** Builder of a pipeline's stages. */
@FleetDsl
class PipelineBuilder internal constructor() {
    internal val stages = mutableListOf<Stage>()

    fun stage(name: String, kind: StageKind, pool: String, idempotent: Boolean = true, expectedMs: Long = 50) {
        stages += Stage(name, kind, PoolId(pool), idempotent, expectedMs)
    }
}

private fun sha256Hex(text: String): String =
    MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).toHexString()
