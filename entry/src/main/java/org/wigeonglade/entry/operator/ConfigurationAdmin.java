package org.wigeonglade.entry.operator;

import java.util.List;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.schema.generated.log.ConfigChange;

/**
 * Publishes configurations and reads their history.
 */
public interface ConfigurationAdmin {

	/**
	 * Publishes a configuration.
	 * @param baseVersion the version that the change was made from, at least 0
	 * @param body the whole configuration, JSON, already valid
	 * @param author who publishes it, not empty
	 * @param reason why, not empty
	 * @return the accepted version, after read-back verification; fails with
	 * {@link org.wigeonglade.core.error.ConflictException} if another change of the same
	 * version came first
	 */
	Uni<Long> publish(long baseVersion, byte[] body, String author, String reason);

	/**
	 * Reads the accepted changes.
	 * @return the retained changes in order of version
	 */
	Uni<List<ConfigChange>> history();

}
