package org.wigeonglade.bench.history;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * One entry of a history. All times are of one monotonic clock, in nanoseconds.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({ @JsonSubTypes.Type(value = HistoryEntry.OnlineCall.class, name = "online"),
		@JsonSubTypes.Type(value = HistoryEntry.ServiceCall.class, name = "service_call"),
		@JsonSubTypes.Type(value = HistoryEntry.ServiceRun.class, name = "service_run"),
		@JsonSubTypes.Type(value = HistoryEntry.EngineWork.class, name = "engine"),
		@JsonSubTypes.Type(value = HistoryEntry.JobAccepted.class, name = "job_accepted"),
		@JsonSubTypes.Type(value = HistoryEntry.JobResults.class, name = "job_results"),
		@JsonSubTypes.Type(value = HistoryEntry.JobCancelled.class, name = "job_cancelled"),
		@JsonSubTypes.Type(value = HistoryEntry.UpstreamLeaving.class, name = "leaving"),
		@JsonSubTypes.Type(value = HistoryEntry.HostStop.class, name = "host_stop"),
		@JsonSubTypes.Type(value = HistoryEntry.ConfigAccepted.class, name = "config_accepted"),
		@JsonSubTypes.Type(value = HistoryEntry.ConfigSeen.class, name = "config_seen"),
		@JsonSubTypes.Type(value = HistoryEntry.Fault.class, name = "fault") })
public sealed interface HistoryEntry {

	/**
	 * Returns the time at which the entry is known to hold.
	 * @return monotonic nanoseconds
	 */
	long nanos();

	/**
	 * Online request as its client saw it. Prompts are unique for each attempt.
	 *
	 * @param host the host that the client called
	 * @param prompt the prompt
	 * @param expected the only right answer
	 * @param sentNanos when the client sent it
	 * @param nanos when the answer ended
	 * @param status the HTTP status, 0 if no response arrived
	 * @param whole whether the end mark arrived
	 * @param text the text received
	 * @param errorCode the code of the error, or empty
	 * @param ran the {@code ran} state of the error, or empty
	 */
	record OnlineCall(String host, String prompt, String expected, long sentNanos, long nanos, int status,
			boolean whole, String text, String errorCode, String ran) implements HistoryEntry {
	}

	/**
	 * Call to a plain service as its client saw it.
	 *
	 * @param host the host that the client called
	 * @param key the idempotency key, unique for each logical call
	 * @param sentNanos when the client sent it
	 * @param nanos when the answer ended
	 * @param status the HTTP status, 0 if no response arrived
	 * @param ran the {@code ran} state of the error, or empty
	 */
	record ServiceCall(String host, String key, long sentNanos, long nanos, int status,
			String ran) implements HistoryEntry {
	}

	/**
	 * Run of a call as the plain service counted it.
	 *
	 * @param service the upstream
	 * @param key the idempotency key
	 * @param nanos when it ran
	 */
	record ServiceRun(String service, String key, long nanos) implements HistoryEntry {
	}

	/**
	 * Entry of an engine's ledger.
	 *
	 * @param engine the runner
	 * @param kind {@code QUEUED}, {@code STARTED}, {@code COMPLETED}, {@code CANCELLED},
	 * {@code LOST} or {@code DROPPED}
	 * @param requestId the identifier of the attempt
	 * @param prompt the prompt
	 * @param nanos when it happened
	 */
	record EngineWork(String engine, String kind, String requestId, String prompt, long nanos) implements HistoryEntry {
	}

	/**
	 * Acceptance of a job that a client was told of.
	 *
	 * @param batchId the job
	 * @param key the idempotency key
	 * @param prompts custom id to prompt
	 * @param expected custom id to the only right answer
	 * @param nanos when the client was told
	 */
	record JobAccepted(String batchId, String key, Map<String, String> prompts, Map<String, String> expected,
			long nanos) implements HistoryEntry {
	}

	/**
	 * Results of a job that a client read.
	 *
	 * @param batchId the job
	 * @param outcomes custom id to all outcomes in the results; a failed item has the
	 * text {@code !} and its code
	 * @param last whether the job had ended and this read must hold every item
	 * @param nanos when the read ended
	 */
	record JobResults(String batchId, Map<String, List<String>> outcomes, boolean last,
			long nanos) implements HistoryEntry {
	}

	/**
	 * Cancellation of a job that a client was told of.
	 *
	 * @param batchId the job
	 * @param nanos when the client was told
	 */
	record JobCancelled(String batchId, long nanos) implements HistoryEntry {
	}

	/**
	 * Announcement that an upstream leaves.
	 *
	 * @param upstream the upstream
	 * @param nanos when the platform's host list showed it
	 */
	record UpstreamLeaving(String upstream, long nanos) implements HistoryEntry {
	}

	/**
	 * Planned stop of a host.
	 *
	 * @param host the host
	 * @param beginNanos when the stop was asked for
	 * @param nanos when it ended
	 */
	record HostStop(String host, long beginNanos, long nanos) implements HistoryEntry {
	}

	/**
	 * Acceptance of a configuration that an operator was told of.
	 *
	 * @param version the version
	 * @param nanos when the operator was told
	 */
	record ConfigAccepted(long version, long nanos) implements HistoryEntry {
	}

	/**
	 * Configuration that a host reported.
	 *
	 * @param host the host
	 * @param version the version in force
	 * @param nanos when it was read
	 */
	record ConfigSeen(String host, long version, long nanos) implements HistoryEntry {
	}

	/**
	 * Injected fault, for the reader only.
	 *
	 * @param what the fault
	 * @param nanos when it was injected
	 */
	record Fault(String what, long nanos) implements HistoryEntry {
	}

}
