package org.wigeonglade.entry.operator;

import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.wigeonglade.core.account.AccountEventBuffer;
import org.wigeonglade.core.config.ConfigurationSource;
import org.wigeonglade.core.member.FleetViewSource;
import org.wigeonglade.core.peer.PeerTransport;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.settings.HostSettings;

/**
 * Holds the parts of a host that the operators' interface shows.
 *
 * @param settings the settings of the host
 * @param incarnation the incarnation of the host
 * @param ticker the source of time
 * @param metrics the metrics of the host
 * @param account the events of the host
 * @param fleet the view of the fleet
 * @param configuration the configuration in effect
 * @param admin the publisher of configurations
 * @param peers the message transport between hosts
 * @param log the log service
 * @param ready whether the host accepts new work
 * @param figures further figures for the status, by section
 */
public record OperatorContext(HostSettings settings, long incarnation, Ticker ticker, HostMetrics metrics,
		AccountEventBuffer account, FleetViewSource fleet, ConfigurationSource configuration, ConfigurationAdmin admin,
		PeerTransport peers, LogService log, BooleanSupplier ready, Supplier<Map<String, Object>> figures) {
}
