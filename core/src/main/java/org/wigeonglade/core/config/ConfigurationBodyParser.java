package org.wigeonglade.core.config;

import org.wigeonglade.schema.generated.settings.FleetConfiguration;

/**
 * Parser of the body of a configuration.
 */
@FunctionalInterface
public interface ConfigurationBodyParser {

	/**
	 * Parses a body and validates it against its schema.
	 * @param json the body as UTF-8 JSON, not null
	 * @return the configuration
	 * @throws org.wigeonglade.core.error.InvalidRequestException if the body violates the
	 * schema; the message names the JSON pointer, the value and what is allowed
	 */
	FleetConfiguration parse(byte[] json);

}
