package org.wigeonglade.gateway.caller;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.wigeonglade.gateway.job.ItemOutcome;
import org.wigeonglade.gateway.job.JobId;
import org.wigeonglade.gateway.job.SubmittedJob;

/**
 * The paths, headers and bodies of callers. Implemented by the adapter that knows their
 * names.
 */
public interface CallerProtocol {

	/**
	 * Decides what a request asks for by its method and path.
	 * @param method the method, not null
	 * @param uri the path and query, not null
	 * @param headers the headers, not null
	 * @return the call, never null
	 * @throws org.wigeonglade.core.error.InvalidRequestException if an argument of a job
	 * call is malformed
	 */
	CallerCall read(HttpMethod method, String uri, HttpHeaders headers);

	/**
	 * Returns the id of a request.
	 * @param headers the headers, not null
	 * @return the id, empty if there is none
	 */
	Optional<String> requestId(HttpHeaders headers);

	/**
	 * Returns how long the caller waits.
	 * @param headers the headers, not null
	 * @return milliseconds, empty if the caller does not say
	 */
	OptionalLong waitMillis(HttpHeaders headers);

	/**
	 * Returns the last event that the caller has of a stream.
	 * @param headers the headers, not null
	 * @return the number of the event, empty if the stream starts at its first
	 */
	OptionalLong resumeAfter(HttpHeaders headers);

	/**
	 * Decodes a submitted job.
	 * @param id the id of the job, not null
	 * @param hostName the host that it was sent to, not null
	 * @param path the path that it was sent to, not null
	 * @param nowMillis the time in milliseconds since the epoch
	 * @param body the body, not null
	 * @return the job, never null
	 * @throws org.wigeonglade.core.error.InvalidRequestException if the body is malformed
	 */
	SubmittedJob readJob(JobId id, String hostName, String path, long nowMillis, byte[] body);

	/**
	 * Encodes results of a job.
	 * @param total the number of items of the job
	 * @param from the first position asked for
	 * @param results the results from that position on, not null
	 * @return the body, never null
	 */
	byte[] writeResults(int total, int from, List<ItemOutcome> results);

	/**
	 * Returns the headers of a refusal.
	 * @param retryAfterMillis when the caller may come back, in milliseconds; negative if
	 * a retry cannot help
	 * @return the headers, may be empty
	 */
	List<Map.Entry<String, String>> refusalHeaders(long retryAfterMillis);

}
