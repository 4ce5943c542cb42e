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
 * Components of a host that the HTTP API for callers depends on.
 *
 * @param settings the settings of the host
 * @param ticker the clock
 * @param configuration the source of the configuration in effect
 * @param online the runtime of online requests
 * @param batch the runtime of jobs and keyed requests, null on a host without one
 * @param metrics the metrics of the host
 * @param account the recorder of account events
 * @param tracer the tracer of the host
 * @param configurationKnown returns whether the configuration in effect has been read
 */
public record CallerContext(HostSettings settings, Ticker ticker, ConfigurationSource configuration,
		OnlineRuntime online, BatchRuntime batch, HostMetrics metrics, AccountRecorder account, HopTracer tracer,
		BooleanSupplier configurationKnown) {
}
