package org.wigeonglade.gateway.host;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;

/**
 * What a gateway process learns from its settings.
 *
 * @param host the name of this host, not null
 * @param domain its failure domain, not null
 * @param callers where it takes requests, not null
 * @param readiness where it answers whether it is ready, not null
 * @param peers where it takes datagrams of other hosts, not null
 * @param metrics where it serves metrics, not null
 * @param grace the time from SIGTERM until the process is killed, not null
 * @param resultRetention how long results of a job stay readable after its submission,
 * not null
 */
public record GatewaySettings(HostId host, FailureDomain domain, InetSocketAddress callers, InetSocketAddress readiness,
		InetSocketAddress peers, InetSocketAddress metrics, Duration grace, Duration resultRetention) {

}
