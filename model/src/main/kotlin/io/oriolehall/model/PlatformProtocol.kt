package io.oriolehall.model

import kotlinx.serialization.Serializable

/*
 * The platform's HTTP interfaces, as its operators publish them. Both can only be read, and each call counts against
 * the platform's read rate.
 *
 * Configuration service:
 *   GET /v1/tickets?after=REVISION&limit=N            a TicketPage, at once.
 *   GET /v1/watch?after=REVISION&waitMs=M&limit=N     a TicketPage as soon as there is one newer than REVISION, or an
 *                                                     empty one after M milliseconds.
 * Instance list:
 *   GET /v1/instances                                 an InstanceList, which may lag.
 *
 * 429 means that the read rate is used up; 503 that the service is down.
 */

/**
 * A ticket as the configuration service holds it. Revisions count publications in their order, which need not be the
 * order of ticket numbers.
 *
 * @property text the ticket as JSON; the service does not check it.
 */
@Serializable
data class PublishedTicket(val revision: Long, val text: String)

/** Part of the published tickets, by revision. [more] says that newer ones can be read at once. */
@Serializable
data class TicketPage(val revision: Long, val tickets: List<PublishedTicket>, val more: Boolean = false)

/** Live and leaving instances, as of some seconds ago. */
@Serializable
data class InstanceList(val asOfMs: Long, val instances: List<Instance>)
