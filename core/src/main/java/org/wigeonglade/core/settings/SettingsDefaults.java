package org.wigeonglade.core.settings;

import org.wigeonglade.schema.generated.settings.BudgetConfiguration;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.HostSettings;
import org.wigeonglade.schema.generated.settings.LimitSettings;
import org.wigeonglade.schema.generated.settings.LogSettings;
import org.wigeonglade.schema.generated.settings.TimingSettings;
import org.wigeonglade.schema.generated.settings.TracingSettings;

/**
 * Sets absent objects to their defaults, so that callers need no null checks. An absent
 * TLS object stays absent, which disables TLS.
 */
final class SettingsDefaults {

	private SettingsDefaults() {
	}

	static HostSettings applyDefaults(HostSettings settings) {
		if (settings.getLimits() == null) {
			settings.setLimits(new LimitSettings());
		}
		if (settings.getTiming() == null) {
			settings.setTiming(new TimingSettings());
		}
		if (settings.getTracing() == null) {
			settings.setTracing(new TracingSettings());
		}
		if (settings.getLog() == null) {
			settings.setLog(new LogSettings());
		}
		return settings;
	}

	static FleetConfiguration applyDefaults(FleetConfiguration configuration) {
		if (configuration.getBudgets() == null) {
			configuration.setBudgets(new BudgetConfiguration());
		}
		return configuration;
	}

}
