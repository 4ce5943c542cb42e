package org.wigeonglade.core.config;

/**
 * Provides the configuration in force on this host. Its version never decreases.
 */
@FunctionalInterface
public interface ConfigurationSource {

	/**
	 * Returns the configuration in force without blocking.
	 * @return the configuration, never null
	 */
	VersionedConfiguration current();

}
