package org.wigeonglade.core.account;

import java.util.List;

/**
 * Explanation of what happened to a subject, in plain sentences for readers without a
 * technical background. Immutable.
 *
 * @param summary the outcome of the subject in one or two sentences
 * @param statements one statement for each event, causes first
 * @param gaps what is missing and why; empty if nothing is known to be missing
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
	 * Statement about one event.
	 *
	 * @param eventId the event that the statement is built from
	 * @param time the time in UTC at which the event was recorded
	 * @param sentence the event in a plain sentence
	 * @param detail the identifiers and attributes of the event
	 */
	public record Statement(String eventId, String time, String sentence, String detail) {
	}

	/**
	 * Information that is missing from the account.
	 *
	 * @param sentence what is missing and why
	 * @param detail the hosts or events concerned, may be empty
	 */
	public record Gap(String sentence, String detail) {
	}

}
