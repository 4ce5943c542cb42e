package org.wigeonglade.entry.operator;

import java.util.List;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.schema.generated.log.ConfigChange;

/**
 * Administration of the fleet configuration: publishes versions and reads their history.
 */
public interface ConfigurationAdmin {

	/**
	 * Publishes a configuration as the successor of a version.
	 * @param baseVersion the version that the change is based on, at least 0
	 * @param body the complete configuration as JSON, already validated
	 * @param author the author of the change, not empty
	 * @param reason the reason for the change, not empty
	 * @return the accepted version, once the log has been read back to verify it; fails
	 * with {@link org.wigeonglade.core.error.ConflictException} if another change based
	 * on the same version precedes it in the log
	 */
	Uni<Long> publish(long baseVersion, byte[] body, String author, String reason);

	/**
	 * Reads the accepted changes that the log still retains.
	 * @return the changes in ascending order of version
	 */
	Uni<List<ConfigChange>> history();

}
