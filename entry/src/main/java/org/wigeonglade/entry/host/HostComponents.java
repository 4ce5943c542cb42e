package org.wigeonglade.entry.host;

import org.wigeonglade.core.account.AccountEventBuffer;
import org.wigeonglade.core.config.ConfigurationSource;
import org.wigeonglade.core.member.FleetLoadSource;
import org.wigeonglade.core.member.FleetViewSource;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.operator.HostMetrics;
import org.wigeonglade.peer.NettyPeerTransport;
import org.wigeonglade.peer.PeerIdentity;
import org.wigeonglade.schema.generated.settings.HostSettings;

/**
 * Components of a host that the batch runtime depends on.
 *
 * @param settings the settings of the host
 * @param identity the identity of this host
 * @param ticker the monotonic clock and the wall clock
 * @param transport sends messages to other hosts and receives theirs
 * @param log the log service
 * @param fleet the source of the fleet view
 * @param load the load that other hosts report in their digests
 * @param configuration the source of the current configuration
 * @param account the buffer of account events
 * @param metrics the metrics of the host
 */
public record HostComponents(HostSettings settings, PeerIdentity identity, Ticker ticker, NettyPeerTransport transport,
		LogService log, FleetViewSource fleet, FleetLoadSource load, ConfigurationSource configuration,
		AccountEventBuffer account, HostMetrics metrics) {
}
