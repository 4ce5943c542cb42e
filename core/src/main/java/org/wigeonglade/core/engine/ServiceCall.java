package org.wigeonglade.core.engine;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * Call to a plain service.
 *
 * @param method the HTTP method
 * @param path the path and query at the service, starting with a slash
 * @param headers the headers to forward
 * @param body the body, not copied
 * @param timeout the time until the call fails
 */
public record ServiceCall(String method, String path, Map<String, List<String>> headers, byte[] body,
		Duration timeout) {

	/**
	 * Returns the call with another time limit.
	 * @param newTimeout the time until the call fails, not null
	 * @return a call, never null
	 */
	public ServiceCall withTimeout(Duration newTimeout) {
		return new ServiceCall(this.method, this.path, this.headers, this.body, newTimeout);
	}

}
