package org.wigeonglade.core.config;

import org.wigeonglade.schema.generated.settings.FleetConfiguration;

/**
 * Holds one version of the configuration. The body must not be changed.
 *
 * @param version the version, 0 before the first publication
 * @param body the whole configuration, not null
 */
public record VersionedConfiguration(long version, FleetConfiguration body) {
}
