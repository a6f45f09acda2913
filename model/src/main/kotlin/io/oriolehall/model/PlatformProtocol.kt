package io.oriolehall.model

import kotlinx.serialization.Serializable

/*
 * The platform's HTTP interfaces, as published by its operators. Both are read-only, and each call counts against the
 * platform's rate limit for reads.
 *
 * Configuration service:
 *   GET /v1/tickets?after=REVISION&limit=N            returns a TicketPage immediately.
 *   GET /v1/watch?after=REVISION&waitMs=M&limit=N     long poll: returns a TicketPage as soon as there is one after
 *                                                     REVISION, or an empty page after M milliseconds.
 * Instance list:
 *   GET /v1/instances                                 returns an InstanceList, which may be out of date.
 *
 * 429 means that the rate limit is exceeded; 503 that the service is unavailable.
 */

/**
 * A ticket as stored by the configuration service.
 *
 * @property revision sequence number of the publication; tickets need not be published in the order of their numbers.
 * @property text the ticket as JSON; the service does not validate it.
 */
@Serializable
data class PublishedTicket(val revision: Long, val text: String)

/** A page of published tickets, ordered by revision. [more] is true if newer tickets are already available. */
@Serializable
data class TicketPage(val revision: Long, val tickets: List<PublishedTicket>, val more: Boolean = false)

/** Live and leaving instances as of [asOfMs], which may be several seconds ago. */
@Serializable
data class InstanceList(val asOfMs: Long, val instances: List<Instance>)
