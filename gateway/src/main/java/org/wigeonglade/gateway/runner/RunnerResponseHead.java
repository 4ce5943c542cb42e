package org.wigeonglade.gateway.runner;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * The decoded head of a runner's response.
 *
 * @param status the HTTP status
 * @param requestId the id of the request that it responds to, empty if it has none
 * @param notRun whether the runner reports that it did not run the request
 * @param wrongRunner whether a runner other than the addressed one responded
 * @param signed whether it carries a signature of the runner
 * @param leaving whether the runner announces that it is about to leave
 * @param requestLimit the requests per second that the runner takes from all hosts
 * together, empty if it names no limit
 * @param delimited whether a length or chunks mark the end of the body, not only the end
 * of the connection
 * @param idleSeconds the idle timeout of the runner's connections in seconds, empty if
 * not given
 */
public record RunnerResponseHead(int status, Optional<String> requestId, boolean notRun, boolean wrongRunner,
		boolean signed, boolean leaving, OptionalDouble requestLimit, boolean delimited, OptionalLong idleSeconds) {

	/**
	 * Returns whether this is a signed success.
	 * @return true for a signed response with a status from 200 to 299
	 */
	public boolean isSuccess() {
		return this.status / 100 == 2 && this.signed;
	}

}
