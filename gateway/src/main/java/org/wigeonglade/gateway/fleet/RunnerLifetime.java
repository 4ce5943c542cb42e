package org.wigeonglade.gateway.fleet;

import java.util.Objects;

/**
 * One process of a runner. A process that starts later under the same id shares nothing
 * with it and may have another software version.
 *
 * @param runner the runner, not null
 * @param startedMillis the start of the process by the runner's own clock, in
 * milliseconds since the epoch
 */
public record RunnerLifetime(RunnerId runner, long startedMillis) {

	/**
	 * Creates the lifetime; rejects a null runner.
	 */
	public RunnerLifetime {
		Objects.requireNonNull(runner, "runner");
	}

}
