package org.wigeonglade.entry.control;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Holds a configuration that an operator wants to publish. The body is not copied.
 *
 * @param baseVersion the version that the change was made from, at least 0
 * @param author who publishes it, 1 to 200 characters
 * @param reason why, in plain words, 1 to 2000 characters
 * @param body the whole configuration as UTF-8 JSON
 * @param rollbackOf the version whose body it repeats, 0 for none
 */
public record ConfigurationDraft(long baseVersion, String author, String reason, byte[] body, long rollbackOf) {

	private static final int MAX_AUTHOR = 200;

	private static final int MAX_REASON = 2000;

	/**
	 * Creates the draft.
	 * @throws InvalidRequestException if a value violates its contract
	 */
	public ConfigurationDraft {
		requireText("author", author, MAX_AUTHOR);
		requireText("reason", reason, MAX_REASON);
		if (baseVersion < 0 || body == null) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					"a configuration change needs a body and a base version of at least 0 but has " + baseVersion);
		}
	}

	private static void requireText(String name, String value, int max) {
		if (value == null || value.isBlank() || value.length() > max) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					"the " + name + " of a configuration change must have 1 to " + max + " characters");
		}
	}

}
