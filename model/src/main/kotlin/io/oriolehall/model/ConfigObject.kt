package io.oriolehall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/*
 * Objects that change tickets create and replace. A ticket carries the whole new state of each object it touches, so
 * an object is never merged from parts of two tickets.
 */

/** Key of a configuration object: its kind and its name, unique over the fleet. */
@Serializable
data class ObjectKey(val kind: String, val name: String) : Comparable<ObjectKey> {
    override fun compareTo(other: ObjectKey): Int = compareValuesBy(this, other, ObjectKey::kind, ObjectKey::name)

    override fun toString(): String = "$kind/$name"
}

/** A configuration object. */
@Serializable
sealed interface ConfigObject {
    /** Key under which the highest accepted ticket wins. */
    val key: ObjectKey
}

/** Whether new work may go to an availability zone or an endpoint. */
@Serializable
enum class ServiceState {
    @SerialName("in-service")
    IN_SERVICE,

    @SerialName("out")
    OUT,
}

/** An availability zone. New work goes to its endpoints only while it is in service. */
@Serializable
@SerialName("zone")
data class AvailabilityZone(
    val id: ZoneId,
    val state: ServiceState = ServiceState.IN_SERVICE,
) : ConfigObject {
    override val key get() = ObjectKey("zone", id.value)
}

/**
 * An organisation that may send requests.
 *
 * @property secretSha256 lower-case hex SHA-256 digests of the secrets it may present; two while one is rotated.
 * @property share weight of the organisation when capacity is short; a positive number.
 * @property defaultDeadlineMs deadline of a request that states none, milliseconds.
 */
@Serializable
@SerialName("organisation")
data class Organisation(
    val id: OrganisationId,
    val secretSha256: List<String>,
    val share: Int = 1,
    val defaultDeadlineMs: Long = 4_000,
) : ConfigObject {
    override val key get() = ObjectKey("organisation", id.value)

    /** Leaves the digests out, since descriptions of objects go to logs and the audit trail. */
    override fun toString(): String =
        "Organisation(id=$id, secrets=${secretSha256.size}, share=$share, defaultDeadlineMs=$defaultDeadlineMs)"
}

/** What a stage does, which decides the protocol spoken with its endpoints. */
@Serializable
enum class StageKind {
    @SerialName("encode")
    ENCODE,

    @SerialName("retrieve")
    RETRIEVE,

    @SerialName("rerank")
    RERANK,

    @SerialName("generate")
    GENERATE,

    @SerialName("call")
    CALL,
}

/**
 * One stage of a pipeline.
 *
 * @property pool the endpoints that can run it.
 * @property idempotent false when running the stage twice would do harm.
 * @property expectedMs usual time of one run on a warm endpoint, milliseconds; admission starts from it.
 */
@Serializable
data class Stage(
    val name: String,
    val kind: StageKind,
    val pool: PoolId,
    val idempotent: Boolean = true,
    val expectedMs: Long = 50,
)

/** A pipeline: stages in the order in which they run, each on the result of the one before. */
@Serializable
@SerialName("pipeline")
data class Pipeline(val id: PipelineId, val stages: List<Stage>) : ConfigObject {
    override val key get() = ObjectKey("pipeline", id.value)

    /** True when every stage may run twice, so that no idempotency key is needed. */
    val idempotent: Boolean get() = stages.all(Stage::idempotent)
}

/**
 * An endpoint: a model engine, encoder, retriever, reranker or plain service.
 *
 * @property address where it serves HTTP.
 * @property coldLimit requests at once that it bears just after it started.
 * @property warmLimit requests at once that it bears when warm.
 * @property fenced true when it refuses an order with an old fencing number.
 */
@Serializable
@SerialName("endpoint")
data class Endpoint(
    val id: EndpointId,
    val zone: ZoneId,
    val pool: PoolId,
    val address: NetworkAddress,
    val coldLimit: Int = 2,
    val warmLimit: Int = 16,
    val fenced: Boolean = false,
    val state: ServiceState = ServiceState.IN_SERVICE,
) : ConfigObject {
    override val key get() = ObjectKey("endpoint", id.value)
}

/**
 * The model that an engine should have loaded and the role it should have.
 *
 * @property adapter name of an adapter on top of the model, or null for none.
 */
@Serializable
@SerialName("engine")
data class EngineAssignment(
    val endpoint: EndpointId,
    val model: String,
    val version: String,
    val adapter: String? = null,
    val role: String = "generate",
) : ConfigObject {
    override val key get() = ObjectKey("engine", endpoint.value)
}

/**
 * The instances that witness idempotency keys which callers make themselves. Names, not processes: a replaced
 * instance keeps its name and its place.
 */
@Serializable
@SerialName("witnesses")
data class WitnessRoster(val instances: List<InstanceId>) : ConfigObject {
    override val key get() = ObjectKey("witnesses", "keys")
}

/**
 * A change ticket.
 *
 * @property number order of the ticket among all tickets; for each object the highest accepted number is in force.
 * @property author operator who issued it, for the audit trail.
 * @property cause why, for the audit trail.
 */
@Serializable
data class Ticket(
    val number: Long,
    val author: String,
    val cause: String,
    val objects: List<ConfigObject>,
)
