package org.wigeonglade.core.account;

import java.util.Map;

/**
 * Recorder of decisions that an operator may have to explain. Never blocks and never
 * fails; events that cannot be kept are counted, and accounts state that some are
 * missing.
 */
public interface AccountRecorder {

	/**
	 * Records an event.
	 * @param code the kind of event, not null
	 * @param subjectKind the kind of subject: {@code request}, {@code batch},
	 * {@code item}, {@code upstream}, {@code host}, {@code config} or {@code partition}
	 * @param subjectId the identifier of the subject; of an item
	 * {@code <batch id>/<index>}
	 * @param causeEventId the identifier of the event that caused this one, or null
	 * @param figures the attributes that the decision was based on, not null
	 * @return the identifier of the new event, to pass as the cause of later ones
	 */
	String record(AccountCode code, String subjectKind, String subjectId, String causeEventId,
			Map<String, String> figures);

}
