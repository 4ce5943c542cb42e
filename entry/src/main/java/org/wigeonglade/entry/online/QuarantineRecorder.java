package org.wigeonglade.entry.online;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.schema.generated.log.QuarantineAdded;

/**
 * Writes quarantines to the control stream, so that they outlive the hosts that know
 * them.
 */
@FunctionalInterface
public interface QuarantineRecorder {

	/**
	 * Records a quarantine.
	 * @param added the quarantine, not null
	 * @return completes when it is durable
	 */
	Uni<Void> record(QuarantineAdded added);

}
