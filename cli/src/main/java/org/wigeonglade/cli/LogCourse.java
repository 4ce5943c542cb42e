package org.wigeonglade.cli;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.logging.LoggingEvent;

/**
 * Follows an id through the JSON lines of several hosts. Lines are ordered by their time
 * of day, so that lines of hosts whose clocks differ may stand in the wrong order by that
 * difference.
 */
final class LogCourse {

	/** Event of lines that were left out. */
	private static final String GAP = "WGE-" + LoggingEvent.LINES_DROPPED.getNumber();

	private final String id;

	private final List<Line> lines = new ArrayList<>();

	private final List<Line> gaps = new ArrayList<>();

	LogCourse(String id) {
		this.id = id;
	}

	/**
	 * Adds the log of a host.
	 * @param host the name that its lines get, not null
	 * @param log the lines; what stands before the first brace of a line, and lines that
	 * are no events, are ignored
	 */
	void add(String host, Stream<String> log) {
		log.forEach((text) -> {
			if (text.contains(this.id) || text.contains(GAP)) {
				parse(host, text);
			}
		});
	}

	/**
	 * Returns the lines that name the id.
	 * @return the lines in order of time
	 */
	List<Line> getLines() {
		return sorted(this.lines);
	}

	/**
	 * Returns where lines were left out between the first and the last line of the id.
	 * @return the lines that say so, in order of time
	 */
	List<Line> getGaps() {
		List<Line> course = getLines();
		if (course.isEmpty()) {
			return sorted(this.gaps);
		}
		Instant first = course.get(0).time();
		// A gap is told in the second after it.
		Instant last = course.get(course.size() - 1).time().plusSeconds(2);
		return sorted(this.gaps).stream()
			.filter((gap) -> !gap.time().isBefore(first) && !gap.time().isAfter(last))
			.toList();
	}

	private void parse(String host, String text) {
		int start = text.indexOf('{');
		if (start < 0) {
			return;
		}
		try {
			JsonObject json = new JsonObject(text.substring(start));
			JsonObject figures = json.getJsonObject("figures");
			if (figures == null || json.getString("time") == null) {
				return;
			}
			Line line = new Line(Instant.parse(json.getString("time")), host, json.getString("event"),
					json.getString("message"), figures);
			if (GAP.equals(line.event())) {
				this.gaps.add(line);
			}
			else if (figures.stream().anyMatch((figure) -> this.id.equals(String.valueOf(figure.getValue())))) {
				this.lines.add(line);
			}
		}
		catch (DecodeException | DateTimeParseException | ClassCastException ex) {
			// A line of another writer is no event of this system.
			return;
		}
	}

	private static List<Line> sorted(List<Line> lines) {
		return lines.stream().sorted(Comparator.comparing(Line::time)).toList();
	}

	/**
	 * One event of the log.
	 *
	 * @param time when it was written, not null
	 * @param host the host that wrote it, not null
	 * @param event its number, such as {@code WGE-2501}
	 * @param message what happened
	 * @param figures the inputs and the outcome, not null
	 */
	record Line(Instant time, String host, String event, String message, JsonObject figures) {

		String write(String withoutId) {
			StringBuilder text = new StringBuilder();
			text.append(this.time).append("  ").append(this.host).append("  ").append(this.event).append(' ');
			text.append(this.message).append(':');
			this.figures.forEach((figure) -> {
				String value = String.valueOf(figure.getValue());
				if (figure.getValue() != null && !value.equals(withoutId)) {
					text.append(' ').append(figure.getKey()).append('=').append(value);
				}
			});
			return text.toString();
		}

	}

}
