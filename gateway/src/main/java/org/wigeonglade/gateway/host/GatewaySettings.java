package org.wigeonglade.gateway.host;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;

/**
 * The settings of a gateway process.
 *
 * @param host the name of this host, not null
 * @param domain the failure domain of this host, not null
 * @param callers the address for requests of callers, not null
 * @param readiness the address for readiness probes, not null
 * @param peers the address for datagrams of other hosts, not null
 * @param metrics the address for scraping metrics, not null
 * @param grace the grace period from SIGTERM until the process is killed, not null
 * @param resultRetention the time after the submission of a job for which its results
 * remain readable, not null
 */
public record GatewaySettings(HostId host, FailureDomain domain, InetSocketAddress callers, InetSocketAddress readiness,
		InetSocketAddress peers, InetSocketAddress metrics, Duration grace, Duration resultRetention) {

}
