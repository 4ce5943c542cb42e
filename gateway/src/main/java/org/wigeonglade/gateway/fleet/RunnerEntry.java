package org.wigeonglade.gateway.fleet;

import java.net.InetSocketAddress;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.ServiceName;

/**
 * The registration of a runner.
 *
 * @param id the runner, not null
 * @param service the service that it belongs to, not null
 * @param address the address on which it accepts requests, not null
 * @param domain its failure domain, not null
 * @param version the version of its software, not null
 * @param slots the number of requests that it runs concurrently, at least 1
 * @param draining whether it has registered that it is shutting down
 * @param startedMillis the start of its process, in milliseconds since the epoch; a
 * higher value under the same id is a new process without the state of the previous one
 */
public record RunnerEntry(RunnerId id, ServiceName service, InetSocketAddress address, FailureDomain domain,
		SoftwareVersion version, int slots, boolean draining, long startedMillis) {

	/** A start that no registration names. */
	private static final long UNKNOWN_START_MILLIS = -1;

	/**
	 * Returns the process that is registered.
	 * @return the process, never null
	 */
	public RunnerLifetime getLifetime() {
		return new RunnerLifetime(this.id, this.startedMillis);
	}

	/**
	 * Returns the entry of a later process that has not been registered yet.
	 * @param laterMillis its start, in milliseconds since the epoch
	 * @return a copy with an unknown version, never null
	 */
	public RunnerEntry withRestart(long laterMillis) {
		return new RunnerEntry(this.id, this.service, this.address, this.domain, SoftwareVersion.UNKNOWN, this.slots,
				false, laterMillis);
	}

	/**
	 * Returns the entry of a process of the runner of which nothing is known.
	 * @return a copy with an unknown version and start, never null
	 */
	public RunnerEntry withUnknownProcess() {
		return withRestart(UNKNOWN_START_MILLIS);
	}

}
