package io.oriolehall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a request that was refused or failed has run, as far as is known. */
@Serializable
enum class RunOutcome {
    /** No part of the request ran or will run. */
    @SerialName("not-run")
    NOT_RUN,

    /** The request may have run, may be running, or may still run. */
    @SerialName("unknown")
    UNKNOWN,

    /** The request ran, but its answer could not be delivered completely. */
    @SerialName("ran")
    RAN,
}

/**
 * Reason for which a request was refused.
 *
 * @property wireName last component of the problem type's URI.
 * @property status HTTP status code of the response.
 * @property remedy what the caller should do, in one sentence; the problem's title.
 */
@Serializable
enum class RefusalKind(val wireName: String, val status: Int, val remedy: String) {
    BAD_REQUEST("bad-request", 400, "Correct the request as the detail says."),
    UNAUTHORISED("unauthorised", 401, "Send the organisation's name and secret as Basic credentials."),
    UNKNOWN_PIPELINE("unknown-pipeline", 404, "Use the name of a pipeline that a change ticket has declared."),
    UNKNOWN_REQUEST("unknown-request", 404, "Use an identifier that this organisation was given; answers expire."),
    TOO_LARGE("too-large", 413, "Send a smaller body."),
    KEY_REQUIRED("key-required", 428, "Send an Idempotency-Key: a token from POST /v1/tokens, or a UUID version 7."),
    BAD_KEY("bad-key", 400, "Use a token from POST /v1/tokens unchanged, or a UUID version 7 made just now."),
    KEY_EXPIRED("key-expired", 409, "Find out whether the earlier request ran, then use a new key."),
    KEY_REUSED("key-reused", 422, "Use a new key for a new request; a key belongs to one body and pipeline."),
    KEY_CLOSED("key-closed", 409, "Nothing ran under this key; send the request again with a new key."),
    KEY_HOLDER_LOST("key-holder-lost", 503, "Send again with the same key, or find out whether the request ran."),
    WITNESS_SILENT("witness-silent", 503, "Use a token from POST /v1/tokens, which needs no witnesses."),
    DEADLINE_EXCEEDED("deadline-exceeded", 504, "Send again with a later deadline."),
    DEADLINE_UNREACHABLE("deadline-unreachable", 503, "Send again after the stated time or with a later deadline."),
    OVERLOADED("overloaded", 503, "Send again after the stated time."),
    NO_ENDPOINT("no-endpoint", 503, "Send again after the stated time; operators see which pool is empty."),
    STAGE_FAILED("stage-failed", 502, "Send again if the outcome is not-run; otherwise find out whether it ran."),
    QUARANTINED("quarantined", 422, "Change the input: endpoints crashed while they ran it."),
    ABANDONED("abandoned", 499, "Send again; keep reading the answer or come back for it at once."),
    STOPPING("stopping", 503, "Send again; another instance will serve it."),
    NOT_READY("not-ready", 503, "Send again; the instance has no configuration yet."),
}

/**
 * A refusal as sent to callers: a problem details object of RFC 9457.
 *
 * @property retryAfterMs time in milliseconds after which a retry makes sense; null if a retry makes no sense.
 */
@Serializable
data class Problem(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val outcome: RunOutcome,
    val retryAfterMs: Long? = null,
    val requestId: String? = null,
)

/** A refusal as represented inside the system and between instances. */
@Serializable
data class Refusal(
    val kind: RefusalKind,
    val detail: String,
    val outcome: RunOutcome = RunOutcome.NOT_RUN,
    val retryAfterMs: Long? = null,
    val requestId: RequestId? = null,
) {
    /** Converts the refusal to the form that is sent to callers. */
    fun toProblem(): Problem = Problem(
        type = "urn:oriolehall:problem:${kind.wireName}",
        title = kind.remedy,
        status = kind.status,
        detail = detail,
        outcome = outcome,
        retryAfterMs = retryAfterMs,
        requestId = requestId?.value,
    )
}
