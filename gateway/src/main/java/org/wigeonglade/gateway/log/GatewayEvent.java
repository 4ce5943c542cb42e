package org.wigeonglade.gateway.log;

import java.lang.System.Logger.Level;

import org.wigeonglade.core.event.EventDescription;
import org.wigeonglade.core.event.LogEvent;

/**
 * Log events of the gateway.
 */
public enum GatewayEvent implements LogEvent {

	/** The process accepts requests. */
	STARTED(1501, Level.INFO, "gateway started", "host", "domain", "incarnation", "start_ms"),

	/** SIGTERM was received. */
	STOPPING(1502, Level.INFO, "planned stop began", "host", "busy_connections", "items", "signal_delay_ms"),

	/** The process is about to exit. */
	STOPPED(1503, Level.INFO, "gateway stopped", "host", "drain_ms", "interrupted", "interrupted_requests",
			"interrupted_items", "interrupted_relays", "unwritten_records"),

	/** SIGHUP was received or the settings file changed. */
	RELOADED(1504, Level.INFO, "settings reloaded", "changed"),

	/** The result of the readiness check changed. */
	READINESS(1505, Level.INFO, "readiness changed", "ready", "reason"),

	/** The listener for metrics could not be started. */
	METRICS_UNAVAILABLE(1508, Level.WARNING, "metrics address cannot be used; requests are served without metrics",
			"address", "reason"),

	/** An unexpected exception ended a thread. */
	THREAD_FAILED(1509, Level.ERROR, "unexpected exception ended a thread", "thread"),

	/** The API key of a request is missing or unknown. */
	KEY_DENIED(2520, Level.INFO, "request denied; its API key is missing or unknown", "request_id", "config_version"),

	/**
	 * A request with an API key was refused, since the newest configuration is not known.
	 */
	KEY_UNCERTAIN(2521, Level.WARNING,
			"request refused; its API key may have been withdrawn by a configuration that is not known yet",
			"request_id", "status", "config_age_ms"),

	/** A runner was chosen for a request. */
	PLACED(2501, Level.INFO, "request placed", "request_id", "route", "service", "runner", "started_ms", "version",
			"attempt", "resumes", "resume_after", "online", "batch", "slots", "expected_wait_ms", "preempted_hosts",
			"load_age_ms", "config_version"),

	/** A request sent to a runner still waits there behind batch items. */
	ITEMS_PREEMPTED_FOR_WAIT(2502, Level.INFO, "request still waits for a slot; batch items are preempted",
			"request_id", "runner", "waited_ms", "online", "batch", "slots", "preempted_hosts"),

	/** A request was refused and has not run. */
	REFUSED(2503, Level.WARNING, "request refused; it has not run", "request_id", "route", "cause", "status", "runners",
			"avoided", "occupancy", "slots", "retry_after_ms", "waited_ms", "config_version"),

	/** The response to a request is complete. */
	ANSWERED(2504, Level.INFO, "request answered", "request_id", "route", "runner", "status", "attempts", "first_ms",
			"total_ms", "last_event", "connection", "exchange", "skipped"),

	/** One attempt to run a request on a runner failed. */
	ATTEMPT_FAILED(2505, Level.WARNING, "attempt failed", "request_id", "runner", "attempt", "kind", "reason",
			"after_ms", "last_event", "not_run", "avoided", "connection", "exchange", "skipped"),

	/** A request ended without a complete response. */
	FAILED(2506, Level.WARNING, "request failed", "request_id", "route", "runner", "status", "reason", "attempts",
			"total_ms", "last_event"),

	/** The caller closed the connection before the end of the response. */
	CALLER_DISCONNECTED(2507, Level.INFO, "caller disconnected before the response was complete", "request_id", "route",
			"runner", "total_ms", "last_event"),

	/** No route matches the host name and path of a request. */
	NO_ROUTE(2508, Level.INFO, "no route matches", "request_id", "host_name", "path", "config_version",
			"config_age_ms"),

	/** A request has no route, and the newest configuration could not be read. */
	CONFIGURATION_UNCERTAIN(2516, Level.WARNING, "newest configuration cannot be read for a request without a route",
			"request_id", "config_age_ms", "status"),

	/** A request is suspected of crashing runners. */
	QUARANTINED(2509, Level.WARNING,
			"request is quarantined and not retried; it was in progress on runners that were lost", "request_id",
			"fingerprints", "runners"),

	/** An unexpected exception was thrown while a request was handled. */
	UNEXPECTED(2510, Level.ERROR, "unexpected failure while a request was handled", "request_id"),

	/** A request arrived shortly before the process exits. */
	REFUSED_AT_STOP(2511, Level.INFO, "request refused because the process is about to exit; it has not run",
			"request_id", "since_stop_ms", "status", "limit_ms", "waited_ms", "time_left_ms"),

	/** A request is accepted late in a graceful shutdown, or with less time. */
	ADMITTED_AT_STOP(2519, Level.INFO, "request accepted by a process that is about to exit", "request_id",
			"since_stop_ms", "limit_ms", "waited_ms", "time_left_ms"),

	/** A caller resumes a stream. */
	STREAM_RESUMED(2515, Level.INFO, "caller resumes a stream", "request_id", "resumes", "resume_after", "service",
			"version", "search_ms"),

	/** The connection to a runner broke with a request in progress. */
	RUNNER_LOST_WITH_REQUEST(2512, Level.WARNING, "runner was lost with a request in progress", "request_id", "runner",
			"started_ms", "since_first_byte_ms", "suspects"),

	/** Crashes of runners are attributed to a request or a part of prompts. */
	QUARANTINE_BEGAN(2513, Level.WARNING, "quarantine began; crashes of runners are attributed to these fingerprints",
			"fingerprints", "runners", "served_before"),

	/** Crashes of runners are no longer attributed to a fingerprint. */
	QUARANTINE_ENDED(2514, Level.INFO, "quarantine ended", "fingerprints"),

	/** A runner sent a response to another request than the one in progress. */
	RESPONSE_SKIPPED(2517, Level.WARNING, "response to another request was skipped", "request_id", "skipped_id",
			"runner", "connection", "exchange", "relayed", "status"),

	/** The connection of a caller that reads too slowly was closed. */
	SLOW_READER_CUT_OFF(2531, Level.WARNING, "connection of a caller that reads too slowly was closed", "caller",
			"stalled_ms", "unread_bytes", "cause", "buffered_bytes"),

	/** A runner sent bytes that are not the response to a request. */
	RESPONSE_UNSOUND(2518, Level.WARNING, "connection to a runner was closed; received bytes are no sound response",
			"request_id", "answered_id", "runner", "connection", "exchange", "relayed", "kind", "reason",
			"head_forwarded", "received"),

	/** Requests of a workspace exceed its usage limit. */
	WORKSPACE_LIMITED(2525, Level.WARNING, "requests of a workspace exceed its usage limit and are rejected",
			"workspace", "hosts", "retry_after_ms"),

	/** No request of a limited workspace was rejected for some time. */
	WORKSPACE_LIMIT_ENDED(2526, Level.INFO, "requests of a workspace are within its usage limit again", "workspace",
			"rejected", "limited_ms"),

	/** A new configuration took effect. */
	CONFIGURATION_IN_FORCE(3501, Level.INFO, "configuration in force", "version", "previous", "offset", "routes"),

	/** A configuration cannot be decoded. */
	CONFIGURATION_INVALID(3502, Level.ERROR, "configuration cannot be decoded; the previous version stays in force",
			"offset", "reason"),

	/** The registration of a runner was added or changed. */
	RUNNER_CHANGED(3503, Level.INFO, "runner registered or changed", "runner", "service", "version", "address",
			"draining", "slots", "started_ms"),

	/** A runner was removed from the set of registered runners. */
	RUNNER_REMOVED(3504, Level.INFO, "runner removed", "runner", "cause"),

	/** The registration of a runner cannot be decoded. */
	RUNNER_INVALID(3505, Level.WARNING, "runner registration cannot be decoded; the runner counts as not registered",
			"runner", "reason"),

	/** A runner is temporarily avoided after failures. */
	RUNNER_AVOIDED(3506, Level.WARNING, "runner is avoided after failures", "runner", "for_ms", "kind"),

	/** The failure detector considers a host alive. */
	HOST_ALIVE(3507, Level.INFO, "host is alive", "host", "incarnation", "domain"),

	/** The failure detector considers a host lost. */
	HOST_LOST(3508, Level.WARNING, "host is lost; no datagrams received", "host", "silent_ms"),

	/** The registration of a lost host is removed. */
	HOST_REGISTRATION_REMOVED(3509, Level.INFO, "registration of a lost host is removed", "host", "silent_ms"),

	/** No host of a failure domain is reachable. */
	DOMAIN_UNREACHABLE(3510, Level.WARNING, "failure domain appears unreachable; its runners are avoided", "domain"),

	/** A host or a runner of an unreachable failure domain is reachable. */
	DOMAIN_REACHABLE(3511, Level.INFO, "failure domain is reachable again", "domain", "reached"),

	/** A runner announced that it is leaving. */
	RUNNER_LEAVING(3512, Level.INFO, "runner is leaving and gets no further requests", "runner", "started_ms",
			"source"),

	/** A runner named a limit of requests, or another one, or none any more. */
	RUNNER_LIMIT(3513, Level.INFO, "limit of requests of a runner changed", "runner", "started_ms", "requests_per_s",
			"source"),

	/** This host cannot reach any runner. */
	HOST_CUT_OFF(3514, Level.WARNING, "no runner can be reached from this host", "last_runner", "kind", "registered"),

	/** This host reaches runners again. */
	HOST_REACHES_RUNNERS(3515, Level.INFO, "runners can be reached from this host again", "runner"),

	/** This host connects another one to a runner. */
	CONNECTION_RELAYED(3516, Level.INFO, "connection of another host to a runner is relayed", "runner", "host"),

	/** Another host did not connect this one to a runner. */
	RELAY_FAILED(3517, Level.WARNING, "another host did not relay a connection to a runner", "host", "runner",
			"reason"),

	/** The request of another host for a connection cannot be decoded. */
	RELAY_REQUEST_INVALID(3518, Level.WARNING, "request for a relayed connection cannot be decoded", "bytes"),

	/** The listener for relayed connections could not be started. */
	RELAY_UNAVAILABLE(3519, Level.WARNING, "address for relayed connections cannot be used; none are relayed",
			"address", "reason"),

	/** A connection leads to a later process of a runner than the registered one. */
	RUNNER_RESTARTED(3520, Level.INFO, "runner has started again; its new registration is not known yet", "runner",
			"registered_start_ms", "started_ms"),

	/** A runner is kept although its registration was removed. */
	RUNNER_REMOVAL_DEFERRED(3521, Level.INFO,
			"removal of a runner is deferred; its registration may have expired during an outage of the store",
			"runner", "cause", "for_ms"),

	/** Another host has read the registrations during an outage of this host. */
	RUNNERS_REMOVED_AFTER_OUTAGE(3522, Level.INFO,
			"outage of the store concerned this host; runners whose removal was deferred are removed", "steady_host",
			"runners"),

	/** This host chose the host that tells it of changes at others. */
	REPORT_RELAY_CHOSEN(3523, Level.INFO, "host that tells of changes at others was chosen", "relay"),

	/** A job was accepted. */
	JOB_ACCEPTED(4501, Level.INFO, "job accepted", "job", "items", "offset", "append_ms"),

	/** A job that had been accepted was submitted again. */
	JOB_RESUBMITTED(4502, Level.INFO, "job was submitted again; it is already accepted", "job"),

	/** A job was not accepted. */
	JOB_REFUSED(4503, Level.WARNING, "job not accepted", "job", "status", "reason", "append_ms"),

	/** A job was ended by its submitter. */
	JOB_ENDED(4504, Level.INFO, "job ended by its submitter", "job", "offset"),

	/** An item was started. */
	ITEM_STARTED(4505, Level.INFO, "item started", "job", "item", "runner", "started_ms", "version", "resume_after",
			"attempt", "due_ms", "occupancy"),

	/** An item was preempted to free its slot. */
	ITEM_PREEMPTED(4506, Level.INFO, "item preempted", "job", "item", "runner", "last_event"),

	/** A run of an item failed. */
	ITEM_FAILED(4507, Level.WARNING, "run of an item failed", "job", "item", "runner", "reason", "failures",
			"last_event", "connection", "exchange", "skipped"),

	/** An item has a result. */
	ITEM_DONE(4508, Level.INFO, "item has a result", "job", "item", "state", "reason", "events", "runner", "connection",
			"exchange", "skipped", "due_ms"),

	/** An item begins anew at another version. */
	ITEM_OUTPUT_DISCARDED(4516, Level.INFO, "output of an item is discarded; it begins anew at another version", "job",
			"item", "binding", "last_event"),

	/** Items wait although avoided runners have idle slots. */
	ITEMS_HELD_BACK(4517, Level.WARNING, "items wait although slots are idle; their runners are avoided", "service",
			"waiting", "runners"),

	/** Items no longer wait beside idle slots of avoided runners. */
	ITEMS_NOT_HELD_BACK(4518, Level.INFO, "items no longer wait beside idle slots of avoided runners", "service"),

	/** The store acknowledged a group of records. */
	RECORDS_APPENDED(4509, Level.DEBUG, "records appended", "count", "offset", "append_ms"),

	/** The append of results, a registration or removals failed and is retried. */
	RECORDS_APPEND_FAILED(4510, Level.WARNING, "records could not be appended; the append is retried", "count",
			"reason"),

	/** A record of the gateway's own stream cannot be decoded. */
	RECORD_INVALID(4511, Level.ERROR, "record cannot be decoded and is skipped", "offset", "key"),

	/** The state of a job could not be confirmed for a caller. */
	JOB_STATE_UNCERTAIN(4512, Level.WARNING, "state of a job cannot be confirmed", "job", "state_age_ms", "status",
			"cause", "listed"),

	/**
	 * The run of an item on this host was cancelled for another reason than online work.
	 */
	ITEM_RUN_CANCELLED(4513, Level.INFO, "run of an item cancelled", "job", "item", "cause", "runner", "last_event"),

	/** The records of jobs are removed after their retention. */
	EXPIRED_JOBS_REMOVED(4514, Level.INFO, "records of jobs are removed after their retention", "records"),

	/** The append of a job is retried, since its outcome is unknown. */
	JOB_APPEND_RETRIED(4515, Level.WARNING, "append of a job is retried; its outcome is unknown", "job", "reason",
			"elapsed_ms"),

	/** The store responded for the first time or after an outage. */
	STORE_REACHABLE(5501, Level.INFO, "store is reachable", "stream", "next_offset"),

	/** A listing or read of a stream failed. */
	STORE_UNREACHABLE(5502, Level.WARNING, "store is unreachable", "stream", "next_offset", "reason"),

	/** The latest records of a stream were listed. */
	STREAM_LISTED(5503, Level.INFO, "stream listed", "stream", "records", "end", "pages", "bytes", "elapsed_ms"),

	/** The next offset of a follower is no longer retained by the store. */
	STREAM_OFFSET_EXPIRED(5504, Level.WARNING, "next offset is no longer retained; the stream is listed again",
			"stream", "next_offset"),

	/** The log of stream origins could not be read. */
	ORIGINS_UNREADABLE(5505, Level.WARNING, "log of stream origins cannot be read; streams are not resumed",
			"partition", "searches", "reason"),

	/** The state derived from a stream is older than the host may act on. */
	STREAM_LAGGING(5507, Level.WARNING, "host lags behind the stream", "stream", "age_ms", "next_offset", "listed",
			"reachable"),

	/** The state derived from a stream is current again. */
	STREAM_CURRENT(5508, Level.INFO, "host has caught up with the stream", "stream", "lagged_ms", "next_offset"),

	/** The records of a stream could not be applied. */
	STREAM_LISTENER_FAILED(5506, Level.ERROR, "records could not be applied; the stream is listed again", "stream",
			"next_offset"),

	/** A datagram of a peer cannot be decoded. */
	DATAGRAM_INVALID(6501, Level.WARNING, "datagram cannot be decoded", "bytes");

	private final EventDescription description;

	GatewayEvent(int number, Level level, String text, String... fields) {
		this.description = EventDescription.of(number, level, text, fields);
	}

	@Override
	public EventDescription getDescription() {
		return this.description;
	}

}
