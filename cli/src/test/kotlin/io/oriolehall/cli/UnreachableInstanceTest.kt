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

/** Commands that call an instance print a one-line error if nothing listens at its address. */
class UnreachableInstanceTest {
    @TempDir
    private lateinit var directory: Path

    private val unusedAddress = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { "127.0.0.1:${it.localPort}" }
    private val callerOptions = listOf("--to", unusedAddress, "--organisation", "authority", "--secret", "s")

    private fun expectUnreachable(arguments: List<String>) {
        expectThat(oriolehall().test(arguments)) {
            get { statusCode } isEqualTo ExitCode.UNREACHABLE
            get { stderr }.contains("oriolehall: $unusedAddress")
            get { stderr.trimEnd().lines().size } isEqualTo 1
        }
    }

    @ParameterizedTest
    @ValueSource(strings = ["status", "audit", "explain"])
    fun `an operator's command`(command: String) = expectUnreachable(listOf(command, "--operators", unusedAddress))

    @Test
    fun `sending`() = expectUnreachable(listOf("send") + callerOptions + listOf("summary", "furisode"))

    @Test
    fun `sending with a key of the instance`() =
        expectUnreachable(listOf("send", "--mint-key") + callerOptions + listOf("order", "furisode"))

    @Test
    fun `resuming`() = expectUnreachable(listOf("resume") + callerOptions + "entry-1~1")

    @Test
    fun `resuming from a file that is not there`() {
        val missing = directory.resolve("none.txt").toString()
        expectThat(oriolehall().test(listOf("resume") + callerOptions + listOf("--received", missing, "entry-1~1"))) {
            get { statusCode } isEqualTo ExitCode.BAD_INPUT
            get { stderr }.contains(missing)
        }
    }
}
