package io.oriolehall.policy.config

import io.oriolehall.model.AvailabilityZone
import io.oriolehall.model.ConfigObject
import io.oriolehall.model.Endpoint
import io.oriolehall.model.EngineAssignment
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.Organisation
import io.oriolehall.model.Pipeline
import io.oriolehall.model.WitnessRoster

/**
 * Validates individual configuration objects. References to other objects, such as from a stage to its pool, are not
 * checked, because tickets may arrive in any order and the other object may not be declared yet.
 */
internal object ConfigObjectValidator {
    private const val MAX_STAGES = 16
    private const val MAX_SECRETS = 4
    private const val MAX_SHARE = 1_000_000
    private const val MAX_DEADLINE_MS = 3_600_000L
    private const val MAX_ENDPOINT_LIMIT = 100_000
    private const val MAX_WITNESSES = 31
    private val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
    private val SHA256_HEX = Regex("[0-9a-f]{64}")

    /** The error in [configObject], or null if it is valid. */
    fun check(configObject: ConfigObject): TicketError? {
        val remedy = nameRemedy(configObject.key.name) ?: objectRemedy(configObject)
        return remedy?.let { TicketError.BadObject(configObject.key.toString(), it) }
    }

    private fun objectRemedy(configObject: ConfigObject): String? = when (configObject) {
        is AvailabilityZone -> null
        is Organisation -> organisationRemedy(configObject)
        is Pipeline -> pipelineRemedy(configObject)
        is Endpoint -> endpointRemedy(configObject)
        is EngineAssignment -> engineRemedy(configObject)
        is WitnessRoster -> rosterRemedy(configObject)
    }

    private fun nameRemedy(name: String): String? =
        if (NAME.matches(name)) null else "name it with 1 to 64 letters, digits, dots, dashes and underscores"

    private fun organisationRemedy(organisation: Organisation): String? = when {
        organisation.secretSha256.size !in 1..MAX_SECRETS -> "give 1 to $MAX_SECRETS secretSha256 digests"
        !organisation.secretSha256.all(SHA256_HEX::matches) -> "write each secretSha256 as 64 lower-case hex digits"
        organisation.share !in 1..MAX_SHARE -> "use a share in 1..$MAX_SHARE"
        organisation.defaultDeadlineMs !in 1..MAX_DEADLINE_MS -> "use a defaultDeadlineMs in 1..$MAX_DEADLINE_MS"
        else -> null
    }

    private fun pipelineRemedy(pipeline: Pipeline): String? = when {
        pipeline.stages.size !in 1..MAX_STAGES -> "give it 1 to $MAX_STAGES stages"
        pipeline.stages.distinctBy { it.name }.size != pipeline.stages.size -> "give each stage a name of its own"
        pipeline.stages.any { it.expectedMs !in 1..MAX_DEADLINE_MS } -> "use an expectedMs in 1..$MAX_DEADLINE_MS"
        else -> pipeline.stages.firstNotNullOfOrNull { nameRemedy(it.name) ?: nameRemedy(it.pool.value) }
    }

    private fun endpointRemedy(endpoint: Endpoint): String? = when {
        !endpoint.address.isDialable() -> "write its address as host and port 1..65535"

        endpoint.coldLimit < 1 -> "use a coldLimit of at least 1"

        endpoint.warmLimit !in endpoint.coldLimit..MAX_ENDPOINT_LIMIT ->
            "use a warmLimit in coldLimit..$MAX_ENDPOINT_LIMIT"

        else -> nameRemedy(endpoint.zone.value) ?: nameRemedy(endpoint.pool.value)
    }

    private fun engineRemedy(assignment: EngineAssignment): String? = when {
        assignment.model.isBlank() -> "name the model"
        assignment.version.isBlank() -> "name the model's version"
        assignment.adapter?.isBlank() == true -> "name the adapter, or leave it out"
        assignment.role.isBlank() -> "name the role"
        else -> null
    }

    private fun rosterRemedy(roster: WitnessRoster): String? = when {
        roster.instances.size !in 1..MAX_WITNESSES -> "name 1 to $MAX_WITNESSES instances"
        roster.instances.distinct().size != roster.instances.size -> "name each instance once"
        else -> roster.instances.firstNotNullOfOrNull { nameRemedy(it.value) }
    }

    private fun NetworkAddress.isDialable() = host.isNotBlank() && NetworkAddress.parse(toString()) == this
}
