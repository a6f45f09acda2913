package io.oriolehall.runtime

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.util.LogbackMDCAdapter
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.io.ByteArrayOutputStream
import java.io.PrintStream

class QueuedLogConfiguratorTest {
    private val context = LoggerContext().apply { mdcAdapter = LogbackMDCAdapter() }
    private val standardOutput = System.out

    @AfterEach
    fun end() {
        System.clearProperty("oriolehall.log")
        System.setOut(standardOutput)
        context.stop()
    }

    @Test
    fun `lines are JSON on the standard output, with the fields of the event`() {
        System.setProperty("oriolehall.log", "queued")
        val output = ByteArrayOutputStream()
        System.setOut(PrintStream(output, true))
        expectThat(QueuedLogConfigurator().configure(context)).isEqualTo(ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY)
        val logger = context.getLogger("test")
        logger.debug("left out")
        logger.atInfo().addKeyValue("event", 101).log("kept")
        context.stop()
        val lines = output.toString().trim().lines()
        expectThat(lines).hasSize(1)
        expectThat(lines.single()).startsWith("{").contains("\"message\":\"kept\"").contains("\"event\":101")
        expectThat("level_value" in lines.single() || "@version" in lines.single()).isEqualTo(false)
    }

    @Test
    fun `without the property the configuration is left to a file`() {
        expectThat(QueuedLogConfigurator().configure(context)).isEqualTo(ExecutionStatus.INVOKE_NEXT_IF_ANY)
        expectThat(context.getLogger(Logger.ROOT_LOGGER_NAME).iteratorForAppenders().hasNext()).isEqualTo(false)
    }
}
