package org.wigeonglade.gateway.host;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;

/**
 * The settings of a gateway process.
 *
 * @param host the name of this host, not null
 * @param domain the failure domain of this host, not null
 * @param callerAddress the address for requests of callers, not null
 * @param readinessAddress the address for readiness probes, not null
 * @param peerAddress the address for datagrams of other hosts, not null
 * @param metricsAddress the address for scraping metrics, not null
 * @param gracePeriod the grace period from SIGTERM until the process is killed, not null
 * @param resultRetention the time after the submission of a job for which its results
 * remain readable, not null
 * @param revocationDelay the time after which the withdrawal of an API key must be in
 * force on every host, also one that is cut off from the store; empty if such a host may
 * serve with the last configuration that it has read; not null
 * @param runnerMemoryLimited whether a runner fails if the requests that it holds exceed
 * its memory, so that hosts have to account for it
 */
public record GatewaySettings(HostId host, FailureDomain domain, InetSocketAddress callerAddress,
		InetSocketAddress readinessAddress, InetSocketAddress peerAddress, InetSocketAddress metricsAddress,
		Duration gracePeriod, Duration resultRetention, Optional<Duration> revocationDelay,
		boolean runnerMemoryLimited) {

}
