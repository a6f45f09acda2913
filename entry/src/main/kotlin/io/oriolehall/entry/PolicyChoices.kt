package io.oriolehall.entry

import io.oriolehall.model.settings.PolicySettings
import io.oriolehall.policy.admission.AdmissionPolicy
import io.oriolehall.policy.admission.AdmitAll
import io.oriolehall.policy.admission.DeadlineAdmission
import io.oriolehall.policy.routing.EndpointPolicy
import io.oriolehall.policy.routing.LeastOutstandingPolicy
import io.oriolehall.policy.routing.PowerOfTwoPolicy
import io.oriolehall.policy.routing.PrefixAffinityPolicy
import io.oriolehall.policy.routing.RoundRobinPolicy

/** The choice among endpoints that the settings name. */
internal fun PolicySettings.chosenEndpointPolicy(): EndpointPolicy = when (endpointChoice) {
    "round-robin" -> RoundRobinPolicy()
    "power-of-two" -> PowerOfTwoPolicy()
    "prefix-affinity" -> PrefixAffinityPolicy()
    else -> LeastOutstandingPolicy()
}

/** The admission that the settings name. */
internal fun PolicySettings.chosenAdmission(): AdmissionPolicy = when (admission) {
    "none" -> AdmitAll
    else -> DeadlineAdmission
}
