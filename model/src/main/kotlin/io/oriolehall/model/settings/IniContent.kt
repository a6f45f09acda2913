package io.oriolehall.model.settings

import org.ini4j.Config
import org.ini4j.InvalidFileFormatException
import org.ini4j.spi.IniHandler
import org.ini4j.spi.IniParser
import java.io.Reader

/** A key of an INI file with its unparsed value. [value] is null if there is no `=`. */
internal data class IniOption(val section: String?, val name: String, val value: String?, val line: Int)

/** A section header. */
internal data class IniSection(val name: String, val line: Int)

/** Content of an INI file, duplicates included. [badLine] is the line at which parsing failed, or null. */
internal data class IniContent(val sections: List<IniSection>, val options: List<IniOption>, val badLine: Int?)

/** Parses INI text and records the line number of each entry, which the ini4j library does not report. */
internal fun readIni(text: String): IniContent {
    val lines = LineByLineReader(text)
    val collector = IniCollector(lines)
    val parser = IniParser.newInstance(StrictConfig)
    val badLine = try {
        parser.parse(lines, collector)
        null
    } catch (e: InvalidFileFormatException) {
        lines.line
    }
    return IniContent(collector.sections, collector.options, badLine)
}

private const val GLOBAL_SECTION = "\u0000"

private val StrictConfig = Config().apply {
    isEscape = false
    isEmptyOption = true
    isEmptySection = true
    isGlobalSection = true
    globalSectionName = GLOBAL_SECTION
    isInclude = false
}

/** Returns at most one line per read, so that [line] is the number of the line that the parser is processing. */
private class LineByLineReader(text: String) : Reader() {
    private val remainingLines = ArrayDeque(text.removePrefix("\uFEFF").lines())
    private var pending = ""
    var line = 0
        private set

    override fun read(target: CharArray, offset: Int, length: Int): Int {
        if (pending.isEmpty()) {
            pending = remainingLines.removeFirstOrNull()?.plus("\n") ?: return -1
            line++
        }
        val count = minOf(length, pending.length)
        pending.toCharArray(target, offset, 0, count)
        pending = pending.drop(count)
        return count
    }

    override fun close() = Unit
}

private class IniCollector(private val source: LineByLineReader) : IniHandler {
    val sections = mutableListOf<IniSection>()
    val options = mutableListOf<IniOption>()
    private var section: String? = null

    override fun startSection(name: String) {
        section = name.takeUnless { it == GLOBAL_SECTION }
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
