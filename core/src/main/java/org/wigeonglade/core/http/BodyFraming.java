package org.wigeonglade.core.http;

import java.util.List;
import java.util.regex.Pattern;

/**
 * How the end of a body is marked.
 */
public sealed interface BodyFraming {

	/** Up to 18 digits fit a long. */
	Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

	/** The field that names the length of a body. */
	String CONTENT_LENGTH = "Content-Length";

	/** The field that names the codings of a body. */
	String TRANSFER_ENCODING = "Transfer-Encoding";

	/** The names of the fields that frame a body. */
	List<String> FIELDS = List.of(CONTENT_LENGTH, TRANSFER_ENCODING);

	/** Status of a response without a body. */
	int NO_CONTENT = 204;

	/** Status of a response without a body. */
	int NOT_MODIFIED = 304;

	/**
	 * Reads the framing from a head that is not interim.
	 * @param statusLine the status line, not null
	 * @param fields the fields, not null
	 * @param bodiless whether the request was one whose responses have no body
	 * @return the framing, never null
	 */
	static BodyFraming of(StatusLine statusLine, List<FieldLine> fields, boolean bodiless) {
		BodyFraming named = ofFields(fields, statusLine.minorVersion() > 0, new UntilClose());
		if (named instanceof Ambiguous) {
			return named;
		}
		return (bodiless || statusLine.status() == NO_CONTENT || statusLine.status() == NOT_MODIFIED) ? new None()
				: named;
	}

	/**
	 * Reads the framing from the head of a request.
	 * @param fields the fields, or only those that frame a body; not null
	 * @param chunks whether the version of the request has chunks, which is HTTP/1.1
	 * @return the framing, never null or {@link UntilClose}
	 */
	static BodyFraming ofRequest(List<FieldLine> fields, boolean chunks) {
		return ofFields(fields, chunks, new None());
	}

	private static BodyFraming ofFields(List<FieldLine> fields, boolean chunks, BodyFraming unnamed) {
		List<FieldLine> framing = fields.stream().filter(BodyFraming::isFraming).toList();
		if (framing.size() > 1) {
			return new Ambiguous("the head frames its body " + framing.size() + " times");
		}
		if (framing.isEmpty()) {
			return unnamed;
		}
		FieldLine field = framing.get(0);
		if (!isValid(field, chunks)) {
			return new Ambiguous("the field " + field.name() + " is '" + field.value() + "'");
		}
		return field.isNamed(TRANSFER_ENCODING) ? new Chunks() : new Length(Long.parseLong(field.value()));
	}

	/**
	 * Returns whether a field frames a body.
	 * @param field the field, not null
	 * @return true for a length or a transfer coding
	 */
	static boolean isFraming(FieldLine field) {
		return field.isNamed(CONTENT_LENGTH) || field.isNamed(TRANSFER_ENCODING);
	}

	private static boolean isValid(FieldLine field, boolean chunks) {
		return field.isNamed(CONTENT_LENGTH) ? LENGTH.matcher(field.value()).matches()
				: "chunked".equalsIgnoreCase(field.value()) && chunks;
	}

	/**
	 * There is no body.
	 */
	record None() implements BodyFraming {

	}

	/**
	 * The head names the length.
	 *
	 * @param bytes the length in bytes, not negative
	 */
	record Length(long bytes) implements BodyFraming {

	}

	/**
	 * The body comes in chunks; an empty one is the last.
	 */
	record Chunks() implements BodyFraming {

	}

	/**
	 * The body ends with the connection.
	 */
	record UntilClose() implements BodyFraming {

	}

	/**
	 * The head allows more than one reading.
	 *
	 * @param reason what was found, for the log, not null
	 */
	record Ambiguous(String reason) implements BodyFraming {

	}

}
