package io.oriolehall.entry.http

import io.oriolehall.model.ConfigObject
import io.oriolehall.model.Organisation
import io.oriolehall.model.OrganisationId
import io.oriolehall.model.Ticket
import io.oriolehall.policy.config.TicketState
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.security.MessageDigest
import java.util.Base64

class CredentialsTest {
    private val authority = Organisation(OrganisationId("authority"), listOf(sha256("obi")))
    private val lemn = Organisation(OrganisationId("lemn"), listOf(sha256("beech"), sha256("maple")))
    private val config = TicketState().withTicket(ticket(authority, lemn)).config

    private fun sha256(text: String) =
        MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).toHexString()

    private fun ticket(vararg objects: ConfigObject) = Ticket(1, "test", "test", objects.toList())

    private fun basic(text: String) = "Basic " + Base64.getEncoder().encodeToString(text.encodeToByteArray())

    @Test
    fun `an organisation is known by any of its secrets`() {
        expectThat(Credentials.authenticate(basic("lemn:beech"), config)).isEqualTo(lemn)
        expectThat(Credentials.authenticate(basic("lemn:maple"), config)).isEqualTo(lemn)
    }

    @Test
    fun `another organisation's secret proves nothing`() {
        expectThat(Credentials.authenticate(basic("authority:beech"), config)).isNull()
    }

    @Test
    fun `headers that are missing or malformed prove nothing`() {
        for (header in listOf(null, "", "Basic", "Basic %%%", "Bearer x", basic("authority"), basic(":obi"))) {
            expectThat(Credentials.authenticate(header, config)).isNull()
        }
    }
}
