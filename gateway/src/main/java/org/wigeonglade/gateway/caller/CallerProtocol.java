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
 * Port to the wire format of callers: decodes paths, headers and bodies of requests and
 * encodes responses. Implemented by the platform's adapter, which defines the names.
 */
public interface CallerProtocol {

	/**
	 * Decodes the operation of a request from its method and path.
	 * @param method the method, not null
	 * @param uri the path and query, not null
	 * @param headers the headers, not null
	 * @return the operation, never null
	 * @throws org.wigeonglade.core.error.InvalidRequestException if an argument of a job
	 * operation is malformed
	 */
	CallerOperation read(HttpMethod method, String uri, HttpHeaders headers);

	/**
	 * Returns the id of a request.
	 * @param headers the headers, not null
	 * @return the id, empty if the caller gave none
	 */
	Optional<String> requestId(HttpHeaders headers);

	/**
	 * Returns how long the caller waits for the response.
	 * @param headers the headers, not null
	 * @return the time in milliseconds, empty if the caller gave none
	 */
	OptionalLong waitMillis(HttpHeaders headers);

	/**
	 * Returns the id of the last event that the caller has received of a stream.
	 * @param headers the headers, not null
	 * @return the id, empty to start at the first event
	 */
	OptionalLong resumeAfter(HttpHeaders headers);

	/**
	 * Returns the stream that a request resumes.
	 * @param headers the headers, not null
	 * @return the id of the request that received the first event of the stream, empty if
	 * the caller gave none
	 */
	Optional<String> resumedStream(HttpHeaders headers);

	/**
	 * Returns the ids of the shared parts of the prompt, without the last part, which
	 * belongs to this request or its session alone.
	 * @param headers the headers, not null
	 * @return the ids in the order of the prompt, empty if the caller gave none; an entry
	 * that cannot be decoded ends the list
	 */
	List<String> promptParts(HttpHeaders headers);

	/**
	 * Returns the tokens that the caller states for the request.
	 * @param headers the headers, not null
	 * @return the tokens, empty if they are absent, malformed or stated more than once
	 */
	Optional<TokenUsage> tokenUsage(HttpHeaders headers);

	/**
	 * Decodes a submitted job.
	 * @param id the id of the job, not null
	 * @param hostName the host name of the route, not null
	 * @param path the path of the request URL, not null
	 * @param nowMillis the time of submission in milliseconds since the epoch
	 * @param body the request body, not null
	 * @return the job, never null
	 * @throws org.wigeonglade.core.error.InvalidRequestException if the body is malformed
	 */
	SubmittedJob readJob(JobId id, String hostName, String path, long nowMillis, byte[] body);

	/**
	 * Encodes results of a job.
	 * @param total the number of items of the job
	 * @param from the position of the first result
	 * @param results the results from that position on, not null; encoded up to the
	 * largest size of a response
	 * @return the response body, never null
	 */
	byte[] writeResults(int total, int from, List<ItemOutcome> results);

	/**
	 * Returns the headers of a refusal.
	 * @param retryAfterMillis the time after which the caller may retry, in milliseconds;
	 * negative if a retry would not help
	 * @return the headers, may be empty
	 */
	List<Map.Entry<String, String>> refusalHeaders(long retryAfterMillis);

}
