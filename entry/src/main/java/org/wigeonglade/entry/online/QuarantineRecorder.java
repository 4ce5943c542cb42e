package org.wigeonglade.entry.online;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.schema.generated.log.QuarantineAdded;

/**
 * Writes quarantines to the control stream, so that they remain in force when the hosts
 * that detected them are gone.
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
