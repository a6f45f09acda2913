package io.oriolehall.model

/** Text in the value of an HTTP header field (RFC 9110, section 5.5). Characters beyond ASCII are sent as UTF-8. */
object FieldText {
    private const val FIRST_PRINTABLE = ' '
    private const val DELETE = '\u007F'

    /** True if [text] reaches the recipient unchanged: it is not empty, without control characters and outer spaces. */
    fun isSendable(text: String): Boolean =
        text.isNotEmpty() && text.first() != ' ' && text.last() != ' ' && text.none(::isControl)

    /**
     * True if [text] can also be an element of a list whose elements commas separate: it has no commas and no spaces.
     */
    fun isSendableInList(text: String): Boolean = isSendable(text) && text.none { it == ',' || it == ' ' }

    /** The octets of [text] as characters up to U+00FF, the form in which HTTP libraries take a value. */
    fun octets(text: String): String =
        if (text.all { it < DELETE }) text else String(text.encodeToByteArray(), Charsets.ISO_8859_1)

    private fun isControl(character: Char) = character < FIRST_PRINTABLE || character == DELETE
}
