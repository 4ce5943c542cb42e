package org.wigeonglade.core.config;

import org.wigeonglade.schema.generated.settings.FleetConfiguration;

/**
 * A configuration with its version. The body must not be modified.
 *
 * @param version the version, 0 before the first publication
 * @param body the whole configuration, not null
 */
public record VersionedConfiguration(long version, FleetConfiguration body) {
}
