package org.wigeonglade.core.config;

/**
 * Gives the configuration in force on this host. The version never goes back.
 */
@FunctionalInterface
public interface ConfigurationSource {

	/**
	 * Returns the configuration in force without blocking.
	 * @return the configuration, never null
	 */
	VersionedConfiguration current();

}
