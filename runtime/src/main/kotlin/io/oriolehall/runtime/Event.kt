package io.oriolehall.runtime

/** Severity of an event. */
enum class EventLevel { DEBUG, INFO, WARN, ERROR }

/**
 * Events that the system logs. Numbers are never reused. docs/EVENTS.md is the catalogue.
 *
 * Ranges: 100 process, 200 configuration, 300 membership and peers, 400 requests and keys, 500 limits and routing,
 * 600 orders to engines, 700 stand-ins and tools.
 */
enum class Event(val number: Int, val level: EventLevel, val text: String) {
    INSTANCE_STARTED(101, EventLevel.INFO, "instance started"),
    INSTANCE_STOPPING(102, EventLevel.INFO, "instance stopping"),
    INSTANCE_STOPPED(103, EventLevel.INFO, "instance stopped"),
    TIMER_ACTION_FAILED(104, EventLevel.ERROR, "periodic action failed"),
    HTTP_HANDLER_FAILED(105, EventLevel.ERROR, "request handler failed"),
    CHANGE_RECORDED(106, EventLevel.INFO, "change recorded"),
    LINES_DROPPED(107, EventLevel.WARN, "lines left out of the log"),
    SETTINGS_READ_AGAIN(108, EventLevel.INFO, "settings read again"),

    PLATFORM_UNREACHABLE(201, EventLevel.WARN, "configuration service cannot be read"),
    PLATFORM_REACHED(202, EventLevel.INFO, "configuration service answers again"),
    TICKET_IN_FORCE(203, EventLevel.INFO, "ticket in force"),
    TICKET_REJECTED(204, EventLevel.WARN, "ticket rejected"),
    TICKET_NUMBER_CONFLICT(205, EventLevel.ERROR, "two different tickets have one number"),

    CONFIG_IN_FORCE(206, EventLevel.INFO, "configuration in force"),
    PUBLISHED_ITEM_UNREADABLE(207, EventLevel.WARN, "published item cannot be used"),
    FEED_HISTORY_GONE(208, EventLevel.WARN, "history of the platform is gone; everything is read again"),
    FEED_READ_FROM_PEER(209, EventLevel.INFO, "published state taken from another instance"),
    ENDPOINT_REGISTERED(210, EventLevel.INFO, "endpoint registered"),
    ENDPOINT_DRAINING(211, EventLevel.INFO, "endpoint is draining"),
    ENDPOINT_WITHDRAWN(212, EventLevel.INFO, "endpoint is gone"),
    ZONE_EVACUATED(213, EventLevel.INFO, "zone is evacuated"),
    ZONE_RESTORED(214, EventLevel.INFO, "zone takes work again"),
    KEYS_SUSPENDED(215, EventLevel.WARN, "configuration is not confirmed; keyed requests are refused"),
    FEED_FAILED(218, EventLevel.ERROR, "reading of the published state failed"),
    STATE_FOLLOWED(216, EventLevel.INFO, "published state followed at another instance"),
    STATE_NOT_FOLLOWED(217, EventLevel.INFO, "published state read from the platform by this instance itself"),

    ENDPOINT_LEAVING(219, EventLevel.INFO, "endpoint says that it leaves"),
    ENDPOINT_PAUSED(220, EventLevel.INFO, "endpoint wants no requests for a time"),
    ENDPOINT_PAUSE_ENDED(221, EventLevel.INFO, "pause of an endpoint has ended"),
    PAUSE_UNREADABLE(222, EventLevel.WARN, "pause that an endpoint asks for cannot be read"),
    FEED_LISTING_UNUSABLE(223, EventLevel.ERROR, "listing of the platform cannot be used"),
    STORE_RESTORED(224, EventLevel.WARN, "store of the platform was restored from an older copy"),
    STORE_RESTORE_ENDED(225, EventLevel.INFO, "state of the restored store is in force"),
    LOST_CHANGE_KEPT(226, EventLevel.INFO, "changes that the restored copy lacks are kept"),
    OLDER_CONFIG_IGNORED(227, EventLevel.WARN, "older configuration of the store ignored"),
    LOAD_UNREADABLE(228, EventLevel.WARN, "load that an endpoint reports cannot be read"),
    SPEED_REPORTED(229, EventLevel.INFO, "endpoint reports how long work takes"),
    REGISTRATION_NOT_APPLIED(230, EventLevel.INFO, "entry of an endpoint is older than what is known"),

    PEER_FRAME_REJECTED(301, EventLevel.WARN, "frame from a peer rejected"),
    PEER_CONNECTION_LOST(302, EventLevel.DEBUG, "connection to a peer lost"),
    MEMBERSHIP_JOINED(303, EventLevel.INFO, "instance joined the fleet"),
    PROCESS_WAS_PAUSED(304, EventLevel.WARN, "process was paused; ownership waits for a fresh view"),
    INSTANCE_SUPERSEDED(305, EventLevel.ERROR, "another process runs under this name; this one takes no new work"),
    PEER_HANDLER_FAILED(309, EventLevel.ERROR, "request of a peer failed"),
    ZONES_UNREACHABLE(310, EventLevel.WARN, "reachable zones changed"),
    MEMBER_CHANGED(308, EventLevel.INFO, "another instance changed its state"),
    WORK_FINISHED(306, EventLevel.INFO, "all work finished before the stop"),
    WORK_CUT_OFF(307, EventLevel.ERROR, "time for finishing work ran out; the rest is cut off"),

    CALLER_CONNECTION_LOST(404, EventLevel.DEBUG, "connection to a caller lost"),
    REQUEST_REFUSED(401, EventLevel.INFO, "request refused"),
    REQUEST_SERVED(402, EventLevel.INFO, "request served"),
    STAGE_ATTEMPT_FAILED(403, EventLevel.WARN, "stage attempt failed"),
    ENDPOINT_CHOSEN(405, EventLevel.DEBUG, "endpoint chosen"),
    ATTEMPT_FAILED(406, EventLevel.INFO, "attempt at an endpoint failed"),
    REQUEST_FAILED(407, EventLevel.INFO, "request failed"),
    STREAM_RESUMED(408, EventLevel.INFO, "stream continues at another endpoint"),
    STREAM_BROKEN_OFF(409, EventLevel.INFO, "stream broken off"),
    CALLER_LEFT(410, EventLevel.INFO, "caller left before the answer"),
    STAGE_CALL_ENDED(411, EventLevel.INFO, "stage call ended"),
    STAGE_CALL_FAILED(412, EventLevel.INFO, "stage call failed"),
    STAGE_FAILED(413, EventLevel.INFO, "stage of a request failed"),
    REQUEST_LATE(414, EventLevel.INFO, "request served late"),
    FAILURE_PASSED_ON(415, EventLevel.INFO, "endpoint's failure passed on"),
    REQUEST_ADMITTED(416, EventLevel.INFO, "request let in"),
    ENDPOINT_ENDED(417, EventLevel.WARN, "endpoint ended while it ran a request"),
    REQUESTS_QUARANTINED(418, EventLevel.WARN, "requests that crash endpoints are refused"),
    QUARANTINE_ENDED(419, EventLevel.INFO, "requests that were held to crash endpoints are served again"),
    RESPONSE_MALFORMED(420, EventLevel.WARN, "response of an endpoint is malformed"),
    SECOND_ATTEMPT_ENDED(422, EventLevel.INFO, "second attempt for a slow request ended"),
    SECOND_ATTEMPTS_ON(423, EventLevel.INFO, "slow requests may get a second attempt"),
    KEY_HOLDER_SILENT(451, EventLevel.WARN, "holder of an idempotency key did not answer"),
    KEY_NOT_CLAIMED(452, EventLevel.WARN, "witnesses did not grant an idempotency key"),

    ORDER_SENT(601, EventLevel.INFO, "order sent to an engine"),
    ORDER_CARRIED_OUT(602, EventLevel.INFO, "engine carried out an order"),
    ORDER_REFUSED(603, EventLevel.WARN, "engine refused an order with an old fencing number"),
    ORDER_OUTCOME_UNKNOWN(604, EventLevel.WARN, "outcome of an order is not known"),
    ORDER_CORRECTS(605, EventLevel.WARN, "engine differs from its ticket after an order; it is ordered again"),
    ENGINE_AHEAD(606, EventLevel.ERROR, "engine has obeyed a higher ticket than this instance knows"),

    STANDIN_STARTED(701, EventLevel.INFO, "stand-in started"),
}
