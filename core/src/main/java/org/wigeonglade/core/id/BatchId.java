package org.wigeonglade.core.id;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Identifier of a batch job, which includes the partition that stores it. The text form
 * is {@code batch-<partition>-<suffix>}. Immutable and ordered by its text.
 *
 * @param partition the partition, 0 to 1023
 * @param suffix the part that is unique within the partition, 8 to 64 letters or digits
 */
public record BatchId(int partition, String suffix) implements Comparable<BatchId> {

	private static final Pattern TEXT = Pattern.compile("batch-(\\d{1,4})-([A-Za-z0-9]{8,64})");

	/** Largest partition number. */
	public static final int MAX_PARTITION = 1023;

	/**
	 * Creates the identifier.
	 * @throws InvalidRequestException if a part is out of range
	 */
	public BatchId {
		if (partition < 0 || partition > MAX_PARTITION || suffix == null || !suffix.matches("[A-Za-z0-9]{8,64}")) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					"partition must be 0 to 1023 and suffix 8 to 64 letters or digits but batch id has partition "
							+ partition + " and suffix '" + suffix + "'");
		}
	}

	/**
	 * Parses the text form.
	 * @param text the text, not null
	 * @return the identifier, never null
	 * @throws InvalidRequestException if the text is null or malformed
	 */
	public static BatchId parse(String text) {
		Matcher matcher = TEXT.matcher((text != null) ? text : "");
		if (!matcher.matches()) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID, "batch id must match " + TEXT.pattern());
		}
		return new BatchId(Integer.parseInt(matcher.group(1)), matcher.group(2));
	}

	@Override
	public int compareTo(BatchId other) {
		return toString().compareTo(other.toString());
	}

	@Override
	public String toString() {
		return "batch-" + this.partition + "-" + this.suffix;
	}

}
