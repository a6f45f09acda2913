package io.oriolehall.gateway.path

import io.oriolehall.model.NetworkAddress
import java.io.BufferedReader
import java.io.OutputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * An endpoint on a loopback socket that runs [script] for each request, which can write any bytes, close the
 * connection, and end the endpoint. Counts the requests that it has read.
 *
 * @param readsBody false to run the script before the body of the request is read.
 */
internal class ScriptedEndpoint(
    private val readsBody: Boolean,
    private val script: Exchange.() -> Unit,
) : AutoCloseable {
    constructor(script: Exchange.() -> Unit) : this(readsBody = true, script)

    /** One request and the raw connection for its response. */
    class Exchange(val socket: Socket, val head: List<String>, val number: Int, private val input: BufferedReader) {
        private val output: OutputStream = socket.getOutputStream()

        fun header(name: String): String? = head.firstOrNull { it.startsWith("$name: ", ignoreCase = true) }
            ?.substringAfter(": ")

        fun write(text: String) {
            output.write(text.encodeToByteArray())
            output.flush()
        }

        /** Writes a complete response with the attempt identifier of the request. */
        fun respond(status: String = "200 OK", body: String = "body", extra: String = "S: 1\r\n") = write(
            "HTTP/1.1 $status\r\nA: ${header("A")}\r\n${extra}Content-Length: ${body.length}\r\n\r\n$body",
        )

        /** Reads the body of the request. */
        fun readBody(): Int = input.skipBody(head)

        /** Resets the connection. */
        fun reset() {
            socket.setSoLinger(true, 0)
            socket.close()
        }
    }

    @Volatile
    private var server = listen(port = 0)
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val requestCount = AtomicInteger()

    val address = NetworkAddress("127.0.0.1", server.localPort)
    val requests: Int get() = requestCount.get()
    val openConnections: Int get() = sockets.count { !it.isClosed }

    init {
        accept()
    }

    private fun listen(port: Int) = ServerSocket().apply {
        reuseAddress = true
        bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), BACKLOG)
    }

    private fun accept() = thread(isDaemon = true) {
        runCatching {
            while (true) {
                val socket = server.accept()
                sockets += socket
                thread(isDaemon = true) { runCatching { serve(socket) }.also { socket.close() } }
            }
        }
    }

    /** Ends the endpoint as a crash of its process does, and starts it again after [downMs]. */
    fun crash(downMs: Long) {
        close()
        thread(isDaemon = true) {
            Thread.sleep(downMs)
            server = listen(address.port)
            accept()
        }
    }

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (true) {
            val head = generateSequence { input.readLine() }.takeWhile(String::isNotEmpty).toList()
            if (head.isEmpty()) return
            val exchange = Exchange(socket, head, requestCount.incrementAndGet(), input)
            if (readsBody) exchange.readBody()
            exchange.script()
        }
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 50

        fun BufferedReader.skipBody(head: List<String>): Int {
            val length = head.firstOrNull { it.startsWith("content-length: ", ignoreCase = true) }
            val size = length?.substringAfter(": ")?.toInt() ?: 0
            repeat(size) { if (read() < 0) return it }
            return size
        }
    }
}
