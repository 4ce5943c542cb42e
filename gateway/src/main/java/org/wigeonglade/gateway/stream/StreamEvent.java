package org.wigeonglade.gateway.stream;

import java.nio.charset.StandardCharsets;

/**
 * One complete event of an event stream.
 *
 * @param id the id of the event, or -1 if it has no numeric id
 * @param bytes the event as received, including the terminating empty line
 */
public record StreamEvent(long id, byte[] bytes) {

	/**
	 * Returns whether the event has an id or data. Comments and empty events keep a
	 * connection open but do not count as progress.
	 * @return true if it has an id or data
	 */
	public boolean hasContent() {
		return this.id >= 0 || getData().length > 0;
	}

	/**
	 * Returns whether the event consists of comments only, which may stand anywhere in a
	 * stream.
	 * @return false if it has a line that is neither blank nor a comment
	 */
	public boolean isComment() {
		return new String(this.bytes, StandardCharsets.ISO_8859_1).lines()
			.allMatch((line) -> line.isBlank() || line.startsWith(":"));
	}

	/**
	 * Returns the data of the event. Several data lines are joined by line feeds.
	 * @return the data, empty if there is none
	 */
	public byte[] getData() {
		StringBuilder data = new StringBuilder();
		boolean first = true;
		// ISO 8859-1 maps bytes to characters one to one.
		for (String line : new String(this.bytes, StandardCharsets.ISO_8859_1).split("\n", -1)) {
			String value = StreamParser.fieldValue(line, "data");
			if (value != null) {
				if (!first) {
					data.append('\n');
				}
				data.append(value);
				first = false;
			}
		}
		return data.toString().getBytes(StandardCharsets.ISO_8859_1);
	}

}
