package io.oriolehall.gateway.upstream

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.name
import kotlin.io.path.readText
import kotlin.io.path.walk

/** Guards against a sender that does not ask whether it may send to an endpoint. */
class SendersTest {
    private fun filesWith(text: String): Set<String> = Path.of("src/main/kotlin").walk()
        .filter { it.extension == "kt" && text in it.readText() }
        .map { it.name }
        .toSet()

    @Test
    fun `only the pool of an endpoint opens connections, and only with its access`() {
        expectThat(filesWith("connector.connect(")).isEqualTo(setOf("EndpointPool.kt"))
        // SelfCheck is a caller: it sends to the gateway.
        expectThat(filesWith("connection.send(") - "SelfCheck.kt")
            .isEqualTo(setOf("Attempt.kt", "StageWorkerClient.kt"))
        expectThat(filesWith(".acquire()")).isEqualTo(setOf("Attempt.kt", "StageWorkerClient.kt"))
    }
}
