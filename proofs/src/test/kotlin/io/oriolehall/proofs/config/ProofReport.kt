package io.oriolehall.proofs.config

import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/** Lines of figures that a proof leaves in target/proofs/config.txt. */
internal object ProofReport {
    private val file: Path = Path.of("target", "proofs", "config.txt")

    fun line(text: String) {
        Files.createDirectories(file.parent)
        Files.writeString(file, text + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND)
    }
}
