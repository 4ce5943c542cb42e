package org.wigeonglade.entry.online;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.schema.generated.log.LogEntry;

/**
 * Writes quarantines and crashes to the control stream, so that they are known when the
 * hosts that detected them are gone.
 */
@FunctionalInterface
public interface QuarantineRecorder {

	/**
	 * Records a quarantine, or a crash that may lead to one.
	 * @param entry the entry of the control stream, not null
	 * @return completes when it is durable
	 */
	Uni<Void> record(LogEntry entry);

}
