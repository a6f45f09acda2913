package io.oriolehall.standins.compute

import io.oriolehall.model.Pipeline
import io.oriolehall.model.StageKind
import io.oriolehall.model.WireJson
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException

/** A stage's input that cannot be the output of the stage before it. */
class StageInputException(message: String) : Exception(message)

/**
 * Results of stages as pure functions of their input, so that every endpoint of a kind gives the same result and a
 * test can tell what a whole pipeline must answer.
 */
class StageComputer(private val data: DataSet) {
    /** Result of a stage that answers whole. */
    fun compute(kind: StageKind, input: String, query: String): String = when (kind) {
        StageKind.ENCODE -> encode(EncodedText.of(input))
        StageKind.RETRIEVE -> retrieve(input)
        StageKind.RERANK -> rerank(input)
        StageKind.CALL -> callService(input, query)
        StageKind.GENERATE -> generate(input, DEFAULT_TOKENS).joinToString("")
    }

    /** The tokens that an engine generates from [input]; joined they are the answer. */
    fun generate(input: String, maxTokens: Int): List<String> {
        val words = sourceText(input).split(' ').filter(String::isNotBlank).ifEmpty { listOf("nothing") }
        val head = "[${sha256Hex(input).take(HEAD_DIGITS)}]"
        return List(maxTokens) { index ->
            when {
                index == 0 -> head
                index % MARK_EVERY == 0 -> " [$index]"
                else -> " " + words[(index - 1) % words.size]
            }
        }
    }

    private fun encode(encoded: EncodedText) = toJson(EncodedText.serializer(), encoded)

    private fun retrieve(input: String): String {
        val encoded = checked(parse(EncodedText.serializer(), input))
        val wanted = termsOf(encoded.text)
        val found = data.search(encoded.text, RETRIEVED)
            .map { RankedDocument(it.id, it.terms.count(wanted::contains)) }
        return toJson(RankedDocuments.serializer(), RankedDocuments(encoded, found))
    }

    private fun rerank(input: String): String {
        val ranked = parse(RankedDocuments.serializer(), input)
        val wanted = termsOf(checked(ranked.encoded).text)
        val best = ranked.documents
            .map { data.document(it.id) ?: throw StageInputException("no document ${it.id} in data set ${data.name}") }
            .map { RankedDocument(it.id, densityOf(it, wanted), it.text) }
            .sortedWith(compareByDescending(RankedDocument::score).thenBy(RankedDocument::id))
            .take(RERANKED)
        return toJson(RankedDocuments.serializer(), ranked.copy(documents = best))
    }

    private fun densityOf(document: Document, wanted: Set<String>) =
        PER_MILLE * document.terms.count(wanted::contains) / document.terms.size

    private fun callService(input: String, query: String): String {
        val operation = parseOrNull(ServiceOperation.serializer(), input)
            ?: parseOrNull(ServiceOperation.serializer(), query)
            ?: ServiceOperation("note")
        val inStock = data.stock.firstOrNull { it.name == operation.item }?.quantity ?: 0
        val answer = ServiceAnswer(operation, sha256Hex(input).take(HEAD_DIGITS), inStock)
        return toJson(ServiceAnswer.serializer(), answer)
    }

    private fun sourceText(input: String): String {
        val ranked = parseOrNull(RankedDocuments.serializer(), input) ?: return input
        checked(ranked.encoded)
        return ranked.documents.joinToString(" ") { "${it.id}: ${it.text}" }
    }

    private fun checked(encoded: EncodedText): EncodedText {
        if (encoded != EncodedText.of(encoded.text)) throw StageInputException("vector and text do not belong together")
        return encoded
    }

    private fun <T> toJson(serializer: KSerializer<T>, value: T) = WireJson.encodeToString(serializer, value)

    private fun <T> parse(serializer: KSerializer<T>, text: String): T = try {
        WireJson.decodeFromString(serializer, text)
    } catch (e: SerializationException) {
        throw StageInputException("input is not the output of the stage before: ${e.message}")
    }

    private fun <T> parseOrNull(serializer: KSerializer<T>, text: String): T? = try {
        WireJson.decodeFromString(serializer, text)
    } catch (e: SerializationException) {
        null
    }

    private companion object {
        const val DEFAULT_TOKENS = 64
        const val HEAD_DIGITS = 12
        const val MARK_EVERY = 16
        const val RETRIEVED = 8
        const val RERANKED = 4
        const val PER_MILLE = 1_000
    }
}

/** What [pipeline] must answer to [input] when its endpoints use the data set [data]. */
fun expectedAnswer(pipeline: Pipeline, input: String, maxTokens: Int, data: DataSet): String {
    val computer = StageComputer(data)
    return pipeline.stages.fold(input) { text, stage ->
        when (stage.kind) {
            StageKind.GENERATE -> computer.generate(text, maxTokens).joinToString("")
            else -> computer.compute(stage.kind, text, input)
        }
    }
}
