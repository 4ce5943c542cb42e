package org.wigeonglade.core.settings;

import org.wigeonglade.schema.generated.settings.BudgetConfiguration;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.HostSettings;
import org.wigeonglade.schema.generated.settings.LimitSettings;
import org.wigeonglade.schema.generated.settings.LogSettings;
import org.wigeonglade.schema.generated.settings.TimingSettings;
import org.wigeonglade.schema.generated.settings.TracingSettings;

/**
 * Fills absent objects with their defaults, so that readers need no null checks. TLS
 * stays absent where it is not set, because absence turns it off.
 */
final class SettingsDefaults {

	private SettingsDefaults() {
	}

	static HostSettings fill(HostSettings settings) {
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

	static FleetConfiguration fill(FleetConfiguration configuration) {
		if (configuration.getBudgets() == null) {
			configuration.setBudgets(new BudgetConfiguration());
		}
		return configuration;
	}

}
