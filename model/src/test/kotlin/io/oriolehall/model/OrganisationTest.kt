package io.oriolehall.model

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains

class OrganisationTest {
    @Test
    fun `its description does not show the digests of its secrets`() {
        val organisation = Organisation(OrganisationId("lemn"), listOf("0a1b2c"))
        expectThat(organisation.toString()) {
            contains("lemn")
            not().contains("0a1b2c")
        }
    }
}
