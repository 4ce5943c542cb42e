package org.wigeonglade.core.account;

import java.util.List;

/**
 * Holds an account that a reader without a technical background can follow. Immutable.
 *
 * @param summary what became of the subject, one or two sentences
 * @param statements one statement for each event, causes first
 * @param gaps what is not known and why; empty if nothing is known to be missing
 */
public record Account(String summary, List<Statement> statements, List<Gap> gaps) {

	/**
	 * Creates the account with copies of the lists.
	 */
	public Account {
		statements = List.copyOf(statements);
		gaps = List.copyOf(gaps);
	}

	/**
	 * Holds the statement of one event.
	 *
	 * @param eventId the event that the statement is built from
	 * @param time when it was recorded
	 * @param sentence the plain sentence
	 * @param detail identifiers and figures
	 */
	public record Statement(String eventId, String time, String sentence, String detail) {
	}

	/**
	 * Holds something that is not known.
	 *
	 * @param sentence what is missing and why
	 * @param detail the hosts or events concerned
	 */
	public record Gap(String sentence, String detail) {
	}

}
