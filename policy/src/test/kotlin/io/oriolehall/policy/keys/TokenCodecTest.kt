package io.oriolehall.policy.keys

import io.oriolehall.model.Incarnation
import io.oriolehall.model.InstanceId
import io.oriolehall.model.NetworkAddress
import io.oriolehall.model.OrganisationId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

class TokenCodecTest {
    private val codec = TokenCodec("a secret of the tests")
    private val holder = KeyHolder(InstanceId("entry-1"), Incarnation(5, 6), NetworkAddress("10.0.0.1", 7))
    private val token = codec.mint(OrganisationId("shop"), holder, nowMs = 42, Random(1))

    @Test
    fun `a token says who minted it, for whom and when`() {
        val key = IdempotencyKey.parse(token, codec)
        expectThat(key.isOk).isTrue()
        expectThat(key.value).isA<IdempotencyKey.Token>().and {
            get { content.holder } isEqualTo holder
            get { content.organisation } isEqualTo OrganisationId("shop")
            get { bornAtMs } isEqualTo 42L
        }
    }

    @Test
    fun `a token with any character changed is no key`() {
        for (index in TokenCodec.PREFIX.length until token.length) {
            val changed = token.replaceRange(index, index + 1, if (token[index] == 'A') "B" else "A")
            val sameBytes = changed.substringAfterLast('.').dropLast(1) == token.substringAfterLast('.').dropLast(1)
            if (!sameBytes || index < token.length - 1) expectThat(IdempotencyKey.parse(changed, codec).isErr).isTrue()
        }
    }

    @Test
    fun `a token signed with another secret is no key`() {
        expectThat(IdempotencyKey.parse(token, TokenCodec("another secret here")).isErr).isTrue()
    }

    @Test
    fun `keys of other forms and of absurd length are refused`() {
        for (text in listOf("", "1", "x".repeat(100_000), "9f4e1c9e-31a5-4f5e-8f4b-2a1d3c4b5a69", "oh1.", "oh1.a.b")) {
            expectThat(IdempotencyKey.parse(text, codec).isErr).isTrue()
        }
    }

    @Test
    fun `a UUID of version 7 carries its birth`() {
        val key = IdempotencyKey.parse("0193AA7E-7c00-7000-8000-000000000000", codec)
        expectThat(key.value).isA<IdempotencyKey.CallerMade>().and {
            get { bornAtMs } isEqualTo 0x0193AA7E7c00
            get { text } isEqualTo "0193aa7e-7c00-7000-8000-000000000000"
        }
    }
}
