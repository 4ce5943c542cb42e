package org.wigeonglade.core.account;

import java.util.Objects;
import java.util.Set;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.schema.generated.log.AccountRecord;

/**
 * Query for the events of one subject, or for all events of a period. Immutable.
 *
 * @param subjectKind one of {@link #SUBJECT_KINDS}, or {@code period} for all subjects
 * @param subjectId the identifier of the subject, empty for a period
 * @param fromWallMillis the start of the period, inclusive, in milliseconds since the
 * epoch
 * @param toWallMillis the end of the period, exclusive, in milliseconds since the epoch
 */
public record AccountQuery(String subjectKind, String subjectId, long fromWallMillis, long toWallMillis) {

	/** Kinds of subjects that events have. */
	public static final Set<String> SUBJECT_KINDS = Set.of("request", "batch", "item", "upstream", "host", "config",
			"partition", "fingerprint");

	/** Kind that selects all events of a period. */
	public static final String PERIOD = "period";

	/**
	 * Creates the query.
	 * @throws InvalidRequestException if the kind is unknown, the identifier is missing
	 * or the period is empty
	 */
	public AccountQuery {
		Objects.requireNonNull(subjectId, "subjectId");
		boolean period = PERIOD.equals(subjectKind);
		if (!period && (subjectKind == null || !SUBJECT_KINDS.contains(subjectKind))) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID, "the kind is '" + subjectKind
					+ "', but must be period or one of " + SUBJECT_KINDS.stream().sorted().toList());
		}
		if (period != subjectId.isEmpty()) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID, (period)
					? "a period takes no identifier, but '" + subjectId + "' was given" : "the identifier is missing");
		}
		if (fromWallMillis >= toWallMillis) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					"the period ends at " + toWallMillis + ", which is not after its start " + fromWallMillis);
		}
	}

	/**
	 * Returns a query for all events of a subject.
	 * @param subjectKind one of {@link #SUBJECT_KINDS}
	 * @param subjectId the identifier, not empty
	 * @return the query, never null
	 */
	public static AccountQuery of(String subjectKind, String subjectId) {
		return new AccountQuery(subjectKind, subjectId, 0, Long.MAX_VALUE);
	}

	/**
	 * Returns whether an event is selected. An event also belongs to a batch if its
	 * subject is an item of that batch, to a host if it was recorded there, and to any
	 * subject that one of its attributes names.
	 * @param event the event, not null
	 * @return true if it lies in the period and belongs to the subject
	 */
	public boolean matches(AccountRecord event) {
		if (event.getWallTimeMs() < this.fromWallMillis || event.getWallTimeMs() >= this.toWallMillis) {
			return false;
		}
		if (PERIOD.equals(this.subjectKind)) {
			return true;
		}
		if (event.getSubjectKind().equals(this.subjectKind) && event.getSubjectId().equals(this.subjectId)) {
			return true;
		}
		if (this.subjectId.equals(event.getFiguresOrDefault(this.subjectKind, ""))) {
			return true;
		}
		return switch (this.subjectKind) {
			case "batch" ->
				event.getSubjectKind().equals("item") && event.getSubjectId().startsWith(this.subjectId + "/");
			case "host" -> event.getHost().equals(this.subjectId);
			case "config" -> this.subjectId.equals(event.getFiguresOrDefault("config_version", ""));
			default -> false;
		};
	}

}
