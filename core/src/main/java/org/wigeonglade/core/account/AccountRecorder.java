package org.wigeonglade.core.account;

import java.util.Map;

/**
 * Records decisions that an operator may have to explain. Never blocks and never fails;
 * what cannot be kept is counted and the account says that events are missing.
 */
public interface AccountRecorder {

	/**
	 * Records an event.
	 * @param code what happened, not null
	 * @param subjectKind the kind of subject: {@code request}, {@code batch},
	 * {@code item}, {@code upstream}, {@code host}, {@code config} or {@code partition}
	 * @param subjectId the identifier of the subject; of an item
	 * {@code <batch id>/<index>}
	 * @param causeEventId the event that led to this one, or null
	 * @param figures the figures that the decision was based on, not null
	 * @return the identifier of the event
	 */
	String record(AccountCode code, String subjectKind, String subjectId, String causeEventId,
			Map<String, String> figures);

}
