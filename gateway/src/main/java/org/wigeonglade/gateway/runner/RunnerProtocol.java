package org.wigeonglade.gateway.runner;

import java.time.Duration;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.wigeonglade.gateway.fleet.RunnerId;

/**
 * The headers that a runner reads and writes. Implemented by the adapter that knows their
 * names.
 */
public interface RunnerProtocol {

	/**
	 * Sets the headers of one send.
	 * @param headers the headers of the request, changed in place
	 * @param requestId the id that the runner repeats in its answer, not null
	 * @param runner the runner that must answer; any other refuses the request
	 * @param remaining the time that the caller still waits, not null
	 * @param resumeAfter the last event that the caller has, empty to start at the first
	 */
	void address(HttpHeaders headers, String requestId, RunnerId runner, Duration remaining, OptionalLong resumeAfter);

	/**
	 * Reads the head of an answer.
	 * @param response the head, not null
	 * @return what it says, never null
	 */
	RunnerAnswer read(HttpResponse response);

}
