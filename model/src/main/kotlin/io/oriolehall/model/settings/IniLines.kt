package io.oriolehall.model.settings

import org.ini4j.Config
import org.ini4j.InvalidFileFormatException
import org.ini4j.spi.IniHandler
import org.ini4j.spi.IniParser
import java.io.Reader

/** A key of an INI file as it stands there. [value] is null when there is no `=`. */
internal data class IniOption(val section: String?, val name: String, val value: String?, val line: Int)

/** A section's first line. */
internal data class IniSection(val name: String, val line: Int)

/** What an INI file holds, duplicates included. [brokenAt] is the line at which reading ended, if it did. */
internal data class IniLines(val sections: List<IniSection>, val options: List<IniOption>, val brokenAt: Int?)

/** Reads INI text with the line number of each entry, which the library does not hand on. */
internal fun readIni(text: String): IniLines {
    val lines = LineByLineReader(text)
    val collector = Collector(lines)
    val parser = IniParser.newInstance(StrictConfig)
    val brokenAt = try {
        parser.parse(lines, collector)
        null
    } catch (e: InvalidFileFormatException) {
        lines.line
    }
    return IniLines(collector.sections, collector.options, brokenAt)
}

private const val NO_SECTION = "\u0000"

private val StrictConfig = Config().apply {
    isEscape = false
    isEmptyOption = true
    isEmptySection = true
    isGlobalSection = true
    globalSectionName = NO_SECTION
    isInclude = false
}

/** Hands out one line a read, so that [line] is the one that the parser works on. */
private class LineByLineReader(text: String) : Reader() {
    private val rest = ArrayDeque(text.removePrefix("\uFEFF").lines())
    private var pending = ""
    var line = 0
        private set

    override fun read(target: CharArray, offset: Int, length: Int): Int {
        if (pending.isEmpty()) {
            pending = rest.removeFirstOrNull()?.plus("\n") ?: return -1
            line++
        }
        val count = minOf(length, pending.length)
        pending.toCharArray(target, offset, 0, count)
        pending = pending.drop(count)
        return count
    }

    override fun close() = Unit
}

private class Collector(private val source: LineByLineReader) : IniHandler {
    val sections = mutableListOf<IniSection>()
    val options = mutableListOf<IniOption>()
    private var section: String? = null

    override fun startSection(name: String) {
        section = name.takeUnless { it == NO_SECTION }
        section?.let { sections += IniSection(it, source.line) }
    }

    override fun handleOption(name: String, value: String?) {
        options += IniOption(section, name, value, source.line)
    }

    override fun startIni() = Unit

    override fun endIni() = Unit

    override fun endSection() = Unit

    override fun handleComment(comment: String?) = Unit
}
