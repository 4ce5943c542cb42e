package org.wigeonglade.gateway.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Incremental parser that splits an event stream into complete events. A runner may stop
 * within an event, so incomplete events are never returned. Not thread-safe.
 */
public final class StreamParser {

	/** Largest event in bytes. */
	private static final int MAX_EVENT_BYTES = 1 << 20;

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	private int lineLength;

	private boolean eventSeen;

	/**
	 * Parses received bytes.
	 * @param bytes the bytes, not null
	 * @return the events that these bytes complete, in order
	 * @throws IllegalStateException if an event is larger than allowed
	 */
	public List<StreamEvent> add(byte[] bytes) {
		List<StreamEvent> events = new ArrayList<>();
		for (byte next : bytes) {
			this.pending.write(next);
			if (next == '\n') {
				if (this.lineLength == 0) {
					completeEvent(events);
				}
				this.lineLength = 0;
			}
			else if (next != '\r') {
				this.lineLength++;
			}
		}
		if (this.pending.size() > MAX_EVENT_BYTES) {
			throw new IllegalStateException("an event of the stream is larger than " + MAX_EVENT_BYTES + " bytes");
		}
		return events;
	}

	/**
	 * Returns whether an incomplete event is buffered.
	 * @return true if the stream must not end here
	 */
	public boolean isInsideEvent() {
		return this.pending.size() > 0;
	}

	/**
	 * Returns whether the stream may end here.
	 * @param delimited whether the end of the stream was marked; otherwise a connection
	 * that ends before the first event is taken for broken
	 * @return false if the stream was broken off
	 */
	public boolean mayEnd(boolean delimited) {
		return !isInsideEvent() && (delimited || this.eventSeen);
	}

	private void completeEvent(List<StreamEvent> events) {
		byte[] bytes = this.pending.toByteArray();
		this.pending.reset();
		this.eventSeen = true;
		events.add(new StreamEvent(parseId(bytes), bytes));
	}

	private static long parseId(byte[] bytes) {
		for (String line : new String(bytes, StandardCharsets.ISO_8859_1).split("\n", -1)) {
			String id = fieldValue(line, "id");
			if (id != null && !id.isEmpty() && id.chars().allMatch(Character::isDigit) && id.length() < 18) {
				return Long.parseLong(id);
			}
		}
		return -1;
	}

	static String fieldValue(String line, String field) {
		if (!line.startsWith(field + ":")) {
			return null;
		}
		int start = field.length() + 1;
		if (start < line.length() && line.charAt(start) == ' ') {
			start++;
		}
		int end = line.endsWith("\r") ? line.length() - 1 : line.length();
		return line.substring(Math.min(start, end), end);
	}

}
