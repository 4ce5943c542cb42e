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

}
