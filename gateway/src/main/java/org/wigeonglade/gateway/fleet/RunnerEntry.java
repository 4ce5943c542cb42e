package org.wigeonglade.gateway.fleet;

import java.net.InetSocketAddress;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.ServiceName;

/**
 * What a runner registered about itself.
 *
 * @param id the runner, not null
 * @param service the service that it belongs to, not null
 * @param address where it accepts requests, not null
 * @param domain its failure domain, not null
 * @param slots the number of requests that it runs at once, at least 1
 * @param draining whether it has announced that it will leave
 * @param startedMillis when it started, in milliseconds since the epoch; a higher value
 * under the same id is a new process that knows nothing of the one before
 */
public record RunnerEntry(RunnerId id, ServiceName service, InetSocketAddress address, FailureDomain domain, int slots,
		boolean draining, long startedMillis) {

}
