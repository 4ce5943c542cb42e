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
 * Components of a host that the operator interface depends on.
 *
 * @param settings the settings of the host
 * @param incarnation the incarnation of the host
 * @param ticker the clock
 * @param metrics the metrics of the host
 * @param accountEvents the latest account events of this host
 * @param fleet the source of the fleet view
 * @param configuration the source of the configuration in effect
 * @param admin publishes configurations
 * @param peers the transport to other hosts
 * @param log the log service
 * @param ready returns whether the host accepts new work
 * @param statistics returns further sections of the status report by name
 */
public record OperatorContext(HostSettings settings, long incarnation, Ticker ticker, HostMetrics metrics,
		AccountEventBuffer accountEvents, FleetViewSource fleet, ConfigurationSource configuration,
		ConfigurationAdmin admin, PeerTransport peers, LogService log, BooleanSupplier ready,
		Supplier<Map<String, Object>> statistics) {
}
