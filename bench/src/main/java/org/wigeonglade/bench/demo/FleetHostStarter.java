package org.wigeonglade.bench.demo;

import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.HostSettings;

/**
 * Starts entry hosts for a fixture.
 */
@FunctionalInterface
public interface FleetHostStarter {

	/**
	 * Starts a host.
	 * @param settings the settings, not null
	 * @param configuration the configuration that is published, not null
	 * @return the running host, never null
	 */
	FleetHost start(HostSettings settings, FleetConfiguration configuration);

}
