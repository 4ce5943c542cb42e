package org.wigeonglade.gateway.runner;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.workspace.RequestIdentity;

/**
 * Port to the wire format of runners: encodes the headers of requests and decodes the
 * heads of responses. Implemented by the platform's adapter, which defines the header
 * names.
 */
public interface RunnerProtocol {

	/**
	 * Sets the headers of one request to a runner.
	 * @param headers the headers of the request, modified in place
	 * @param requestId the id that the runner repeats in its response, not null
	 * @param runner the addressed runner; any other runner rejects the request
	 * @param remaining the time until the deadline, not null
	 * @param resumeAfter the id of the last event received, empty to start at the first
	 * event
	 */
	void writeHeaders(HttpHeaders headers, String requestId, RunnerId runner, Duration remaining,
			OptionalLong resumeAfter);

	/**
	 * Tells the runner on whose behalf a request is made. Unless the configuration has no
	 * workspaces, the credentials of the caller and what it claims itself are removed.
	 * @param headers the headers of the request, modified in place
	 * @param identity the identity, not null
	 */
	void writeIdentity(HttpHeaders headers, RequestIdentity identity);

	/**
	 * Returns the field in which a runner repeats the id of the request.
	 * @return the name, never null
	 */
	String getIdField();

	/**
	 * Creates a request for the report of a runner about itself.
	 * @param runner the addressed runner; any other runner rejects the request
	 * @return the request, never null
	 */
	HttpRequest createReportRequest(RunnerEntry runner);

	/**
	 * Returns whether a response is the report of a runner about itself.
	 * @param response the head, not null
	 * @return false if the body is something else
	 */
	boolean isReport(HttpResponse response);

	/**
	 * Decodes the start of the process from its report about itself.
	 * @param report the body of the response, not null
	 * @return the start in milliseconds since the epoch, empty if the report does not
	 * name it
	 */
	OptionalLong readStart(byte[] report);

	/**
	 * Returns why the head of a response allows more than one reading.
	 * @param response the head, not null
	 * @return a description for the log, empty if each field that names the response
	 * occurs once at most
	 */
	Optional<String> findFault(HttpResponse response);

	/**
	 * Decodes the head of a response.
	 * @param response the head, not null
	 * @return the decoded head, never null
	 */
	RunnerResponseHead read(HttpResponse response);

}
