package io.oriolehall.policy.config

import io.oriolehall.model.AvailabilityZone
import io.oriolehall.model.ConfigObject
import io.oriolehall.model.Endpoint
import io.oriolehall.model.EndpointId
import io.oriolehall.model.EngineAssignment
import io.oriolehall.model.ObjectKey
import io.oriolehall.model.Organisation
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.Pipeline
import io.oriolehall.model.PipelineId
import io.oriolehall.model.PoolId
import io.oriolehall.model.ServiceState
import io.oriolehall.model.WitnessRoster
import io.oriolehall.model.ZoneId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * An immutable snapshot of the configuration in force. The control thread creates a new one for each accepted ticket;
 * request processing reads it without locks.
 */
data class ConfigSnapshot(val objects: PersistentMap<ObjectKey, VersionedObject> = persistentMapOf()) {
    /** Endpoints by the pool they belong to. */
    val endpointsByPool: Map<PoolId, List<Endpoint>> by lazy {
        objects.values.mapNotNull { it.state as? Endpoint }.sortedBy(Endpoint::id).groupBy(Endpoint::pool)
    }

    /** Highest ticket number in force; 0 before the first ticket. */
    val highestTicket: Long by lazy { objects.values.maxOfOrNull(VersionedObject::ticket) ?: 0 }

    fun organisation(id: OrganisationId): Organisation? = find(ObjectKey("organisation", id.value))

    fun pipeline(id: PipelineId): Pipeline? = find(ObjectKey("pipeline", id.value))

    fun endpoint(id: EndpointId): Endpoint? = find(ObjectKey("endpoint", id.value))

    fun engineAssignment(id: EndpointId): EngineAssignment? = find(ObjectKey("engine", id.value))

    fun witnessRoster(): WitnessRoster? = find(ObjectKey("witnesses", "keys"))

    /** State of a zone. A zone that no ticket has declared is in service. */
    fun zoneState(id: ZoneId): ServiceState =
        find<AvailabilityZone>(ObjectKey("zone", id.value))?.state ?: ServiceState.IN_SERVICE

    /** True when [endpoint] may receive new work: it and its zone are in service. */
    fun acceptsNewWork(endpoint: Endpoint): Boolean =
        endpoint.state == ServiceState.IN_SERVICE && zoneState(endpoint.zone) == ServiceState.IN_SERVICE

    private inline fun <reified T : ConfigObject> find(key: ObjectKey): T? = objects[key]?.state as? T
}
