package io.oriolehall.model.settings

/**
 * An error in a settings file.
 *
 * @property line line number, from 1; null if the file cannot be read or a key is missing.
 * @property problem what is wrong.
 * @property remedy how to correct it.
 */
sealed interface SettingsError {
    val file: String
    val line: Int?
    val problem: String
    val remedy: String

    /** The error in one line, as `file:line: problem; remedy`. */
    val message: String get() = "$file${line?.let { ":$it" }.orEmpty()}: $problem; $remedy"

    /** The file cannot be read. */
    data class Unreadable(override val file: String, val cause: String) : SettingsError {
        override val line: Int? get() = null
        override val problem get() = "cannot be read ($cause)"
        override val remedy get() = "give the path of a readable text file in UTF-8"
    }

    /** A line that is neither a section, nor a key, nor a comment. Parsing stops there. */
    data class Malformed(override val file: String, override val line: Int, val text: String) : SettingsError {
        override val problem get() = "cannot parse '$text'"
        override val remedy get() = "write '[section]', 'key = value' or a comment that starts with ; or #"
    }

    data class OutsideSection(override val file: String, override val line: Int, val key: String) : SettingsError {
        override val problem get() = "key '$key' appears before the first section"
        override val remedy get() = "move it below the header of its section, such as [instance]"
    }

    data class UnknownSection(
        override val file: String,
        override val line: Int,
        val section: String,
        val known: Collection<String>,
    ) : SettingsError {
        override val problem get() = "unknown section [$section]"
        override val remedy get() = "use one of ${known.joinToString { "[$it]" }}"
    }

    data class DuplicateSection(
        override val file: String,
        override val line: Int,
        val section: String,
        val firstLine: Int,
    ) : SettingsError {
        override val problem get() = "section [$section] appears more than once"
        override val remedy get() = "move its keys to the section that starts at line $firstLine"
    }

    data class UnknownKey(
        override val file: String,
        override val line: Int,
        val section: String,
        val key: String,
        val known: Collection<String>,
    ) : SettingsError {
        override val problem get() = "unknown key '$key' in [$section]"
        override val remedy get() = "use one of ${known.joinToString()}"
    }

    data class DuplicateKey(
        override val file: String,
        override val line: Int,
        val section: String,
        val key: String,
        val firstLine: Int,
    ) : SettingsError {
        override val problem get() = "key '$key' of [$section] is set more than once"
        override val remedy get() = "keep either this line or line $firstLine"
    }

    data class MissingKey(
        override val file: String,
        val section: String,
        val key: String,
        val example: String,
    ) : SettingsError {
        override val line: Int? get() = null
        override val problem get() = "key '$key' of [$section] is missing"
        override val remedy get() = "write for example '$key = $example' below [$section]"
    }

    data class BadValue(
        override val file: String,
        override val line: Int,
        val section: String,
        val key: String,
        val value: String,
        val expected: String,
        val example: String,
    ) : SettingsError {
        override val problem get() = "'$value' is no value for '$key' of [$section], which takes $expected"
        override val remedy get() = "write for example '$key = $example'"
    }
}
