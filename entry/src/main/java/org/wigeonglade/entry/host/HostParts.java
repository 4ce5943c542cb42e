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
 * Holds the parts of a host that the batch runtime works with.
 *
 * @param settings the settings of the host
 * @param identity who this host is
 * @param ticker the clocks
 * @param peers the message transport between hosts
 * @param log the log service
 * @param fleet the fleet view
 * @param load the load that other hosts tell
 * @param configuration the configuration in force
 * @param account the account
 * @param metrics the metrics
 */
public record HostParts(HostSettings settings, PeerIdentity identity, Ticker ticker, NettyPeerTransport peers,
		LogService log, FleetViewSource fleet, FleetLoadSource load, ConfigurationSource configuration,
		AccountEventBuffer account, HostMetrics metrics) {
}
