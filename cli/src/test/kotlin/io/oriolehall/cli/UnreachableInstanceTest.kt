package io.oriolehall.cli

import com.github.ajalt.clikt.testing.test
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Path

/** Each command that talks to an instance says so in one line when nothing listens at the address. */
class UnreachableInstanceTest {
    @TempDir
    private lateinit var directory: Path

    private val nobody = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { "127.0.0.1:${it.localPort}" }
    private val caller = listOf("--to", nobody, "--organisation", "authority", "--secret", "s")

    private fun expectUnreachable(arguments: List<String>) {
        expectThat(oriolehall().test(arguments)) {
            get { statusCode } isEqualTo ExitCode.UNREACHABLE
            get { stderr }.contains("oriolehall: $nobody")
            get { stderr.trimEnd().lines().size } isEqualTo 1
        }
    }

    @ParameterizedTest
    @ValueSource(strings = ["status", "audit", "explain"])
    fun `an operator's command`(command: String) = expectUnreachable(listOf(command, "--operators", nobody))

    @Test
    fun `sending`() = expectUnreachable(listOf("send") + caller + listOf("summary", "furisode"))

    @Test
    fun `sending with a key of the instance`() =
        expectUnreachable(listOf("send", "--mint-key") + caller + listOf("order", "furisode"))

    @Test
    fun `resuming`() = expectUnreachable(listOf("resume") + caller + "entry-1~1")

    @Test
    fun `resuming from a file that is not there`() {
        val missing = directory.resolve("none.txt").toString()
        expectThat(oriolehall().test(listOf("resume") + caller + listOf("--received", missing, "entry-1~1"))) {
            get { statusCode } isEqualTo ExitCode.BAD_INPUT
            get { stderr }.contains(missing)
        }
    }
}
