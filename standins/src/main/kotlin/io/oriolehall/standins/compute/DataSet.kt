package io.oriolehall.standins.compute

/** A document that retrieval can find. */
data class Document(val id: String, val title: String, val text: String) {
    /** The words that searches compare. */
    val terms: Set<String> = termsOf("$title $text")
}

/** An item that can be ordered or looked up, with the [quantity] in stock. */
data class StockItem(val name: String, val quantity: Int)

/** The documents and the stock of one deployment, read from the class path. */
class DataSet private constructor(
    val name: String,
    val documents: List<Document>,
    val stock: List<StockItem>,
) {
    private val byId = documents.associateBy(Document::id)

    /** The document [id], or null. */
    fun document(id: String): Document? = byId[id]

    /** The [count] documents that share most terms with [text]; equal ones by id. */
    fun search(text: String, count: Int): List<Document> {
        val wanted = termsOf(text)
        return documents
            .sortedWith(compareByDescending<Document> { it.terms.count(wanted::contains) }.thenBy(Document::id))
            .take(count)
    }

    companion object {
        /** Names of the data sets. */
        val Names = listOf("kimono", "lemn")

        /** Reads the data set [name]. */
        fun load(name: String): DataSet = DataSet(
            name,
            readBlocks("$name-documents.txt").map(::parseDocument),
            readLines("$name-stock.txt").filter(String::isNotBlank).map(::parseStock),
        )

        private fun readBlocks(file: String): List<List<String>> =
            readLines(file).joinToString("\n").split("\n\n").map { it.trim().lines() }.filter { it.size > 1 }

        private fun readLines(file: String): List<String> {
            val path = "/datasets/$file"
            val stream = requireNotNull(DataSet::class.java.getResourceAsStream(path)) { "no resource $path" }
            return stream.bufferedReader().use { it.readLines() }
        }

        private fun parseDocument(block: List<String>): Document {
            val (id, title) = block.first().split(": ", limit = 2)
            return Document(id, title, block.drop(1).joinToString(" "))
        }

        private fun parseStock(line: String): StockItem {
            val (name, quantity) = line.split(": ", limit = 2)
            return StockItem(name, quantity.toInt())
        }
    }
}

private val NotWord = Regex("[^\\p{L}\\p{N}]+")
private const val SHORTEST_TERM = 3

internal fun termsOf(text: String): Set<String> =
    text.lowercase().split(NotWord).filterTo(mutableSetOf()) { it.length >= SHORTEST_TERM }
