package org.wigeonglade.gateway.http;

import java.util.Optional;
import java.util.function.Predicate;

import org.wigeonglade.core.http.FieldLine;
import org.wigeonglade.core.http.StatusLineScanner;

/**
 * Finds the head of another response within a body. A body that is shorter than its
 * length goes on with the next response on the connection, and a late copy may be written
 * into a body. A body may also quote a head; only one that names a request of the
 * connection belongs to it.
 */
final class EmbeddedHeadDetector {

	/** Largest beginning of a head in bytes that is compared with others. */
	static final int MAX_HEAD_BYTES = 160;

	/** Largest line in bytes that is searched for the id of a request. */
	private static final int MAX_LINE_BYTES = 1024;

	private final Predicate<FieldLine> namesRequest;

	private final StringBuilder line = new StringBuilder();

	private final StringBuilder head = new StringBuilder();

	private final StatusLineScanner scanner = new StatusLineScanner();

	private boolean withinHead;

	private boolean reasonPhrase;

	private boolean found;

	/**
	 * Creates a detector for one body.
	 * @param namesRequest tests whether a field has the id of a request of the
	 * connection, not null
	 */
	EmbeddedHeadDetector(Predicate<FieldLine> namesRequest) {
		this.namesRequest = namesRequest;
	}

	/**
	 * Adds the next bytes of the body.
	 * @param bytes the bytes, not null
	 */
	void add(byte[] bytes) {
		for (byte value : bytes) {
			add(value);
		}
	}

	/**
	 * Returns whether a head that names a request of the connection was found.
	 * @return true if the body is not that of one response
	 */
	boolean isFound() {
		return this.found;
	}

	/**
	 * Returns whether a status line may have begun.
	 * @return true if bytes behind the body make it doubtful
	 */
	boolean isDoubtful() {
		return this.scanner.isFound();
	}

	/**
	 * Returns the beginning of a head that the bytes end in.
	 * @return the first bytes of the head in ISO 8859-1, empty if the bytes do not end
	 * within the fields of a head
	 */
	Optional<String> getUnfinishedHead() {
		return (this.withinHead && !this.reasonPhrase && !this.line.isEmpty()) ? Optional.of(this.head.toString())
				: Optional.empty();
	}

	private void add(byte value) {
		if (this.withinHead) {
			addToLine(value);
		}
		if (this.scanner.add(value)) {
			this.withinHead = true;
			this.reasonPhrase = true;
			this.line.setLength(0);
			this.head.setLength(0);
			this.head.append(this.scanner.getPrefix());
		}
	}

	private void addToLine(byte value) {
		if (this.head.length() < MAX_HEAD_BYTES) {
			this.head.append((char) (value & 0xff));
		}
		if (value != '\n') {
			this.line.append((char) (value & 0xff));
			this.withinHead = this.line.length() <= MAX_LINE_BYTES;
			return;
		}
		String text = this.line.toString();
		this.line.setLength(0);
		boolean reasonPhrase = this.reasonPhrase;
		this.reasonPhrase = false;
		if (!text.endsWith("\r")) {
			this.withinHead = false;
		}
		else if (!reasonPhrase) {
			Optional<FieldLine> field = FieldLine.parse(text.substring(0, text.length() - 1));
			this.withinHead = field.isPresent();
			this.found |= field.filter(this.namesRequest).isPresent();
		}
	}

}
