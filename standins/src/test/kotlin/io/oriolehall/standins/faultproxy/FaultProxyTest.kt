package io.oriolehall.standins.faultproxy

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import java.net.ConnectException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.concurrent.thread
import kotlin.system.measureTimeMillis

@Timeout(20)
class FaultProxyTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val proxy = FaultProxy(SelectorManager(Dispatchers.IO), scope)
    private val echo = EchoServer()
    private val link = openLink("link", sourceZone = "a", targetZone = "b")

    @AfterEach
    fun stop() {
        scope.cancel()
        echo.close()
    }

    @Test
    fun `bytes pass in both directions`() {
        expectThat(connect(link).exchange("hello")).isEqualTo("hello")
    }

    @Test
    fun `a cut holds an open connection silent and lets it go on afterwards`() {
        val connection = connect(link)
        connection.exchange("before")
        fault(Fault(FaultMatch(crossingZone = "b"), FaultMode.CUT))
        connection.send("during")
        expectThrows<SocketTimeoutException> { connection.receive(6, waitMs = 300) }
        clear()
        expectThat(connection.receive(6)).isEqualTo("during")
    }

    @Test
    fun `a cut of the way back lets requests reach the target`() {
        val connection = connect(link)
        connection.exchange("before")
        fault(Fault(FaultMatch(targetZone = "b"), FaultMode.CUT_BACK))
        connection.send("order")
        echo.awaitReceived("beforeorder")
        expectThrows<SocketTimeoutException> { connection.receive(5, waitMs = 300) }
    }

    @Test
    fun `a connection opened and given up during a cut never reaches the target`() {
        fault(Fault(mode = FaultMode.CUT))
        connect(link).apply { send("lost") }.close()
        awaitThat { status("link").endedBySource == 1 }
        clear()
        awaitThat { status("link").open == 0 }
        expectThat(connect(link).exchange("later")).isEqualTo("later")
        expectThat(echo.received()).isEqualTo("later")
    }

    @Test
    fun `a refused link refuses connections and accepts them again`() {
        fault(Fault(mode = FaultMode.REFUSE))
        expectThrows<ConnectException> { connect(link) }
        clear()
        expectThat(connect(link).exchange("back")).isEqualTo("back")
    }

    @Test
    fun `a delay is added to each way`() {
        val connection = connect(link)
        connection.exchange("first")
        fault(Fault(mode = FaultMode.DELAY, ms = 100))
        expectThat(measureTimeMillis { connection.exchange("slow") }).isGreaterThanOrEqualTo(200)
    }

    @Test
    fun `a reset ends open connections`() {
        val connection = connect(link)
        connection.exchange("before")
        fault(Fault(mode = FaultMode.RESET))
        expectThat(connection.receive(1)).isEqualTo("")
    }

    @Test
    fun `a fault leaves links that it does not match alone`() {
        val inside = openLink("inside", sourceZone = "b", targetZone = "b")
        fault(Fault(FaultMatch(crossingZone = "b"), FaultMode.CUT))
        expectThat(connect(inside).exchange("home")).isEqualTo("home")
    }

    private fun openLink(id: String, sourceZone: String, targetZone: String): Int = runBlocking {
        val target = "127.0.0.1:${echo.port}"
        proxy.open(Link(id, target = target, sourceZone = sourceZone, targetZone = targetZone)).port()
    }

    private fun LinkStatus.port() = address.substringAfter(':').toInt()

    private fun status(id: String) = runBlocking { proxy.links().first { it.link.id == id } }

    private fun fault(fault: Fault) = runBlocking { proxy.addFault(fault) }

    private fun clear() = runBlocking { proxy.clearFaults() }

    private fun connect(port: Int) = Socket(InetAddress.getLoopbackAddress(), port)

    private fun awaitThat(condition: () -> Boolean) {
        while (!condition()) Thread.onSpinWait()
    }

    private fun Socket.exchange(text: String): String {
        send(text)
        return receive(text.length)
    }

    private fun Socket.send(text: String) = getOutputStream().write(text.encodeToByteArray())

    private fun Socket.receive(count: Int, waitMs: Int = 10_000): String {
        soTimeout = waitMs
        return getInputStream().readNBytes(count).decodeToString()
    }
}

private class EchoServer : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val seen = StringBuffer()
    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true) { acceptAll() }
    }

    fun received(): String = seen.toString()

    fun awaitReceived(text: String) {
        while (received() != text) Thread.onSpinWait()
    }

    override fun close() = server.close()

    private fun acceptAll() = runCatching {
        while (true) {
            val connection = server.accept()
            thread(isDaemon = true) { runCatching { echo(connection) } }
        }
    }

    private fun echo(connection: Socket) {
        val buffer = ByteArray(1024)
        while (true) {
            val count = connection.getInputStream().read(buffer)
            if (count < 0) return connection.close()
            seen.append(buffer.decodeToString(0, count))
            connection.getOutputStream().write(buffer, 0, count)
        }
    }

    private companion object {
        const val BACKLOG = 10
    }
}
