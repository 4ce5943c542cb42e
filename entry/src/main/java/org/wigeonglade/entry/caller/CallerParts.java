package org.wigeonglade.entry.caller;

import java.util.function.BooleanSupplier;

import org.wigeonglade.core.account.AccountRecorder;
import org.wigeonglade.core.config.ConfigurationSource;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.batch.BatchRuntime;
import org.wigeonglade.entry.online.OnlineRuntime;
import org.wigeonglade.entry.operator.HopTracer;
import org.wigeonglade.entry.operator.HostMetrics;
import org.wigeonglade.schema.generated.settings.HostSettings;

/**
 * Holds the parts of a host that the callers' interface works with.
 *
 * @param settings the settings of the host
 * @param ticker the clocks
 * @param configuration the configuration in force
 * @param online runs online requests
 * @param batch keeps jobs and keyed requests, or null on a host without it
 * @param metrics the metrics of the host
 * @param account the account of the host
 * @param tracer the tracer of the host
 * @param configured whether the configuration in force is known
 */
public record CallerParts(HostSettings settings, Ticker ticker, ConfigurationSource configuration, OnlineRuntime online,
		BatchRuntime batch, HostMetrics metrics, AccountRecorder account, HopTracer tracer,
		BooleanSupplier configured) {
}
