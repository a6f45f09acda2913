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

    /** The error in [target], or null if it is valid. */
    fun check(target: ConfigObject): TicketError? {
        val remedy = nameRemedy(target.key.name) ?: stateRemedy(target)
        return remedy?.let { TicketError.BadObject(target.key.toString(), it) }
    }

    private fun stateRemedy(target: ConfigObject): String? = when (target) {
        is AvailabilityZone -> null
        is Organisation -> organisationRemedy(target)
        is Pipeline -> pipelineRemedy(target)
        is Endpoint -> endpointRemedy(target)
        is EngineAssignment -> engineRemedy(target)
        is WitnessRoster -> rosterRemedy(target)
    }

    private fun nameRemedy(name: String): String? =
        if (NAME.matches(name)) null else "name it with 1 to 64 letters, digits, dots, dashes and underscores"

    private fun organisationRemedy(target: Organisation): String? = when {
        target.secretSha256.size !in 1..MAX_SECRETS -> "give 1 to $MAX_SECRETS secretSha256 digests"
        !target.secretSha256.all(SHA256_HEX::matches) -> "write each secretSha256 as 64 lower-case hex digits"
        target.share !in 1..MAX_SHARE -> "use a share in 1..$MAX_SHARE"
        target.defaultDeadlineMs !in 1..MAX_DEADLINE_MS -> "use a defaultDeadlineMs in 1..$MAX_DEADLINE_MS"
        else -> null
    }

    private fun pipelineRemedy(target: Pipeline): String? = when {
        target.stages.size !in 1..MAX_STAGES -> "give it 1 to $MAX_STAGES stages"
        target.stages.distinctBy { it.name }.size != target.stages.size -> "give each stage a name of its own"
        target.stages.any { it.expectedMs !in 1..MAX_DEADLINE_MS } -> "use an expectedMs in 1..$MAX_DEADLINE_MS"
        else -> target.stages.firstNotNullOfOrNull { nameRemedy(it.name) ?: nameRemedy(it.pool.value) }
    }

    private fun endpointRemedy(target: Endpoint): String? = when {
        !target.address.isDialable() -> "write its address as host and port 1..65535"
        target.coldLimit < 1 -> "use a coldLimit of at least 1"
        target.warmLimit !in target.coldLimit..MAX_ENDPOINT_LIMIT -> "use a warmLimit in coldLimit..$MAX_ENDPOINT_LIMIT"
        else -> nameRemedy(target.zone.value) ?: nameRemedy(target.pool.value)
    }

    private fun engineRemedy(target: EngineAssignment): String? = when {
        target.model.isBlank() -> "name the model"
        target.version.isBlank() -> "name the model's version"
        target.adapter?.isBlank() == true -> "name the adapter, or leave it out"
        target.role.isBlank() -> "name the role"
        else -> null
    }

    private fun rosterRemedy(target: WitnessRoster): String? = when {
        target.instances.size !in 1..MAX_WITNESSES -> "name 1 to $MAX_WITNESSES instances"
        target.instances.distinct().size != target.instances.size -> "name each instance once"
        else -> target.instances.firstNotNullOfOrNull { nameRemedy(it.value) }
    }

    private fun NetworkAddress.isDialable() = host.isNotBlank() && NetworkAddress.parse(toString()) == this
}
