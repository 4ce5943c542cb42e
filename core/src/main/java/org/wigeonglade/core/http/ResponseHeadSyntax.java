package org.wigeonglade.core.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Strict syntax of the head of an HTTP/1.1 response (RFC 9112). Forms that recipients may
 * repair are rejected, because the bytes of two heads that run into each other can be
 * read as one head in such a form.
 */
public final class ResponseHeadSyntax {

	private static final String LINE_END = "\r\n";

	private static final String HEAD_END = "\r\n\r\n";

	private ResponseHeadSyntax() {
	}

	/**
	 * Returns why a head is not strictly formed.
	 * @param head the bytes from the status line to the empty line, which is included;
	 * not null
	 * @return what was found, empty if the head is well-formed
	 */
	public static Optional<String> findProblem(byte[] head) {
		Optional<List<String>> lines = splitLines(head);
		if (lines.isEmpty()) {
			return Optional.of("the head does not end with its only empty line");
		}
		Optional<StatusLine> statusLine = StatusLine.parse(lines.get().get(0))
			.filter((parsed) -> parsed.minorVersion() == 1);
		if (statusLine.isEmpty()) {
			return Optional.of("malformed status line");
		}
		List<String> fieldLines = lines.get().subList(1, lines.get().size());
		Optional<List<FieldLine>> fields = parseFields(fieldLines);
		if (fields.isEmpty()) {
			return Optional.of("malformed field line");
		}
		return (BodyFraming.of(statusLine.get(), fields.get(), false) instanceof BodyFraming.Ambiguous ambiguous)
				? Optional.of(ambiguous.reason()) : Optional.empty();
	}

	/**
	 * Returns why the trailer section of a chunked response is not strictly formed.
	 * @param trailers the bytes after the last chunk, with the empty line; not null
	 * @return what was found, empty if the section is well-formed
	 */
	public static Optional<String> findTrailerProblem(byte[] trailers) {
		if (LINE_END.equals(new String(trailers, StandardCharsets.ISO_8859_1))) {
			return Optional.empty();
		}
		Optional<List<String>> lines = splitLines(trailers);
		if (lines.isEmpty()) {
			return Optional.of("the trailers do not end with their only empty line");
		}
		Optional<List<FieldLine>> fields = parseFields(lines.get());
		if (fields.isEmpty()) {
			return Optional.of("malformed field line");
		}
		return fields.get().stream().anyMatch(BodyFraming::isFraming)
				? Optional.of("a framing field inside the trailers") : Optional.empty();
	}

	// Empty unless the only empty line is the last one.
	private static Optional<List<String>> splitLines(byte[] section) {
		String text = new String(section, StandardCharsets.ISO_8859_1);
		int end = text.indexOf(HEAD_END);
		return (end >= 0 && end + HEAD_END.length() == text.length())
				? Optional.of(List.of(text.substring(0, end).split(LINE_END, -1))) : Optional.empty();
	}

	private static Optional<List<FieldLine>> parseFields(List<String> lines) {
		List<FieldLine> fields = new ArrayList<>();
		for (String line : lines) {
			Optional<FieldLine> field = FieldLine.parse(line);
			if (field.isEmpty()) {
				return Optional.empty();
			}
			fields.add(field.get());
		}
		return Optional.of(fields);
	}

}
