package org.wigeonglade.entry.control;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Configuration change that an operator submits for publication. The body is not copied.
 *
 * @param baseVersion the version on which the change is based, at least 0
 * @param author the operator who publishes the change, 1 to 200 characters
 * @param reason the reason for the change as free text, 1 to 2000 characters
 * @param body the complete configuration as UTF-8 JSON
 * @param rollbackOf the version whose body is restored, 0 if the change is no rollback
 */
public record ConfigurationDraft(long baseVersion, String author, String reason, byte[] body, long rollbackOf) {

	private static final int MAX_AUTHOR = 200;

	private static final int MAX_REASON = 2000;

	/**
	 * Checks the values.
	 * @throws InvalidRequestException if a text is blank or too long, the base version is
	 * negative or the body is null
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
