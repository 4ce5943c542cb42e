package org.wigeonglade.core.config;

import org.wigeonglade.schema.generated.log.ConfigChange;

/**
 * Metadata of an accepted version. The body is read from the log when it is needed.
 *
 * @param version the version, from 1
 * @param author the author of the change
 * @param reason the reason stated by the author
 * @param wallTimeMillis the time of publication by the clock of the publishing host
 * @param rollbackOf the version whose body is published again, 0 for none
 * @param offset the offset of its record in the stream
 * @param bodyBytes the size of the body in bytes
 * @param recordId the writer, its incarnation and the sequence number of the record
 */
public record AcceptedChange(long version, String author, String reason, long wallTimeMillis, long rollbackOf,
		long offset, int bodyBytes, String recordId) {

	static AcceptedChange of(ConfigChange change, long offset, String recordId) {
		return new AcceptedChange(change.getVersion(), change.getAuthor(), change.getReason(), change.getWallTimeMs(),
				change.getRollbackOf(), offset, change.getBody().size(), recordId);
	}

}
