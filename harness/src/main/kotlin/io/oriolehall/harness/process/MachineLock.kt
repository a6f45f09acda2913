package io.oriolehall.harness.process

import java.nio.channels.FileChannel
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.concurrent.locks.ReentrantLock

/**
 * Held by whoever runs many processes on this machine, so that two test runs or benchmarks do not disturb each other.
 * Taking it waits until it is free.
 */
class MachineLock private constructor(private val channel: FileChannel) : AutoCloseable {
    override fun close() {
        channel.close()
        InThisProcess.unlock()
    }

    companion object {
        private const val FILE_NAME = "oriolehall-process-tests.lock"
        private val InThisProcess = ReentrantLock()

        /** Takes the lock. It belongs to the calling thread, which closes it. */
        fun take(): MachineLock {
            InThisProcess.lock()
            val file = Path.of(System.getProperty("java.io.tmpdir"), FILE_NAME)
            val channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE)
            channel.lock()
            return MachineLock(channel)
        }
    }
}
