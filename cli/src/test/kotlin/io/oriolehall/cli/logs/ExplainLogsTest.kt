package io.oriolehall.cli.logs

import com.github.ajalt.clikt.testing.test
import io.oriolehall.cli.ExitCode
import io.oriolehall.cli.oriolehall
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.nio.file.Files
import java.nio.file.Path

class ExplainLogsTest {
    @TempDir
    private lateinit var directory: Path

    private fun line(at: String, instance: String, event: Int, fields: String) =
        """{"@timestamp":"2026-12-04T12:00:$at+00:00","message":"m","logger_name":"$instance","event":$event,$fields}"""

    private fun writeLog(name: String, vararg lines: String): String =
        Files.write(directory.resolve(name), lines.toList()).toString()

    private fun explain(vararg files: String) = oriolehall().test(listOf("explain-logs", "r1") + files)

    @Test
    fun `the lines of a request come in order with what its instance learnt before`() {
        val firstLog = writeLog(
            "a",
            line("05.000", "a", 201, """"error":"away""""),
            "edge-1 " + line("09.000", "a", 401, """"request":"r1","reason":"not confirmed","afterMs":"1000""""),
            line("10.000", "a", 202, """"afterMs":"1""""),
        )
        val secondLog = writeLog(
            "b",
            line("06.000", "b", 201, """"error":"away""""),
            line("08.500", "a", 406, """"request":"r1","endpoint":"e1","none":null"""),
            line("08.600", "a", 406, """"request":"r2","endpoint":"e1""""),
        )
        expectThat(explain(firstLog, secondLog)) {
            get { statusCode }.isEqualTo(0)
            get { stdout.trim().lines() }.hasSize(3).and {
                get { first() }.isEqualTo("-3500 ms  a  201 m  error=away")
                get { this[1] }.isEqualTo("*      +0 ms  a  406 m  endpoint=e1")
                get { this[2] }.contains("+500 ms  a  401 m  reason=not confirmed")
            }
        }
    }

    @Test
    fun `what endpoints said of themselves and what is quarantined belongs to the timeline`() {
        val log = writeLog(
            "a",
            line("08.100", "a", 219, """"endpoint":"e1","status":"200""""),
            line("08.200", "a", 220, """"endpoint":"e2","forMs":"3000""""),
            line("08.300", "a", 418, """"fingerprint":"f""""),
            line("09.000", "a", 401, """"request":"r1","reason":"no endpoint can be used","afterMs":"2""""),
        )
        val events = Regex(" a {2}(\\d+) m").findAll(explain(log).stdout).map { it.groupValues[1] }.toList()
        expectThat(events).isEqualTo(listOf("219", "220", "418", "401"))
    }

    @Test
    fun `a request that no line names ends with a reason`() {
        expectThat(explain(writeLog("a", line("05.000", "a", 201, """"error":"away"""")))) {
            get { statusCode }.isEqualTo(ExitCode.BAD_INPUT)
            get { stderr }.contains("no line names request r1")
        }
    }

    @Test
    fun `what is no line of a log is passed over`() {
        expectThat(LogLine.parse("Picked up JAVA_TOOL_OPTIONS: {x")).isNull()
        expectThat(LogLine.parse("""{"event":"x"}""")).isNull()
        expectThat(LogLine.parse("""{"event":401,"@timestamp":"yesterday"}""")).isNull()
    }
}
