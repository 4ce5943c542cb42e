package org.wigeonglade.cli;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.event.LogEvent;
import org.wigeonglade.core.logging.LoggingEvent;
import org.wigeonglade.gateway.log.GatewayEvent;

/**
 * Reads the runs and results of batch items from the JSON lines of several hosts. Lines
 * may have a prefix of a number of seconds and the name of a host, as in a log that
 * collects several hosts on one clock; such a prefix takes precedence over the time of
 * the line and the name of the file.
 */
final class ItemLog {

	private static final Pattern PREFIX = Pattern.compile("\\s*(-?\\d+(?:\\.\\d+)?)\\s+(\\S+)\\s+");

	private static final Pattern TIME = Pattern.compile("\"time\":\"([^\"]+)\"");

	private static final Pattern EVENT = Pattern.compile("\"event\":\"WGE-(\\d+)\"");

	private static final Set<Integer> EVENTS = Set.of(number(GatewayEvent.STARTED), number(GatewayEvent.STOPPED),
			number(GatewayEvent.JOB_ACCEPTED), number(GatewayEvent.ITEM_STARTED), number(GatewayEvent.ITEM_PREEMPTED),
			number(GatewayEvent.ITEM_FAILED), number(GatewayEvent.ITEM_DONE), number(GatewayEvent.ITEM_RUN_CANCELLED),
			number(LoggingEvent.LINES_DROPPED));

	private static final String UNKNOWN_DOMAIN = "unknown";

	private final List<Line> lines = new ArrayList<>();

	private final Map<String, Double> lastSeconds = new HashMap<>();

	private final Map<String, String> domains = new HashMap<>();

	private final Map<String, Long> acceptedItems = new HashMap<>();

	private final Map<RunKey, Line> active = new HashMap<>();

	private final Map<RunKey, Long> events = new HashMap<>();

	private final List<ItemRun> runs = new ArrayList<>();

	private final List<ItemResult> results = new ArrayList<>();

	private long droppedLines;

	/**
	 * Adds a log. What stands before the first brace of a line, and lines that are no
	 * events, are ignored.
	 * @param name the name of the host if the lines do not name it, not null
	 * @param log the lines in order of time for each host, not null
	 */
	void add(String name, Stream<String> log) {
		log.forEach((text) -> addLine(name, text));
	}

	/**
	 * Replays the lines of all logs in order of time. Lines cannot be added afterwards.
	 * @return this log, never null
	 */
	ItemLog replay() {
		this.lines.sort(Comparator.comparingDouble(Line::seconds));
		this.lines.forEach(this::apply);
		this.active.keySet()
			.stream()
			.toList()
			.forEach((key) -> end(key, this.lastSeconds.get(key.host()), ItemRun.HOST_KILLED, null));
		this.lines.clear();
		return this;
	}

	/**
	 * Returns the runs of all items.
	 * @return the runs in order of their ends, never null
	 */
	List<ItemRun> getRuns() {
		return this.runs;
	}

	/**
	 * Returns the results that hosts obtained, which may be several for an item.
	 * @return the results in order of time, never null
	 */
	List<ItemResult> getResults() {
		return this.results;
	}

	/**
	 * Returns the number of items of the jobs that were accepted.
	 * @return the number, without jobs whose line is missing
	 */
	long getAcceptedItems() {
		return this.acceptedItems.values().stream().mapToLong(Long::longValue).sum();
	}

	/**
	 * Returns the number of lines about items that hosts left out.
	 * @return the number
	 */
	long getDroppedLines() {
		return this.droppedLines;
	}

	private void addLine(String name, String text) {
		int start = text.indexOf('{');
		if (start < 0) {
			return;
		}
		Matcher prefix = PREFIX.matcher(text).region(0, start);
		boolean prefixed = prefix.matches();
		String host = prefixed ? prefix.group(2) : name;
		Optional<Double> seconds = prefixed ? Optional.of(Double.parseDouble(prefix.group(1))) : findTime(text, start);
		Matcher event = EVENT.matcher(text);
		if (seconds.isEmpty() || !event.find(start)) {
			return;
		}
		int number = Integer.parseInt(event.group(1));
		Double previous = this.lastSeconds.put(host, seconds.get());
		if (!EVENTS.contains(number)) {
			return;
		}
		try {
			JsonObject figures = new JsonObject(text.substring(start)).getJsonObject("figures");
			if (figures != null) {
				this.lines
					.add(new Line(seconds.get(), (previous != null) ? previous : seconds.get(), host, number, figures));
			}
		}
		catch (DecodeException | ClassCastException ex) {
			// The last line of a killed process may be incomplete.
			return;
		}
	}

	private static Optional<Double> findTime(String text, int start) {
		Matcher time = TIME.matcher(text);
		if (!time.find(start)) {
			return Optional.empty();
		}
		try {
			return Optional.of(Instant.parse(time.group(1)).toEpochMilli() / 1e3);
		}
		catch (DateTimeParseException ex) {
			return Optional.empty();
		}
	}

	private void apply(Line line) {
		JsonObject figures = line.figures();
		if (line.is(GatewayEvent.STARTED)) {
			this.domains.put(line.host(), figures.getString("domain", UNKNOWN_DOMAIN));
			endAll(line.host(), line.previousSeconds(), ItemRun.HOST_KILLED);
			this.events.keySet().removeIf((key) -> key.host().equals(line.host()));
		}
		else if (line.is(GatewayEvent.STOPPED)) {
			endAll(line.host(), line.seconds(), ItemRun.HOST_STOPPED);
		}
		else if (line.is(GatewayEvent.JOB_ACCEPTED)) {
			this.acceptedItems.put(figures.getString("job"), figures.getLong("items"));
		}
		else if (line.is(LoggingEvent.LINES_DROPPED)) {
			this.droppedLines += EVENTS.stream()
				.anyMatch((n) -> ("WGE-" + n).equals(figures.getString("dropped_event"))) ? figures.getLong("count")
						: 0;
		}
		else {
			applyItemLine(line, new RunKey(line.host(), figures.getString("job") + "/" + figures.getString("item")));
		}
	}

	private void applyItemLine(Line line, RunKey key) {
		JsonObject figures = line.figures();
		if (line.is(GatewayEvent.ITEM_STARTED)) {
			end(key, line.seconds(), "unknown: a line is missing", null);
			this.active.put(key, line);
		}
		else if (line.is(GatewayEvent.ITEM_PREEMPTED)) {
			end(key, line.seconds(), "preempted", figures.getLong("last_event"));
		}
		else if (line.is(GatewayEvent.ITEM_FAILED)) {
			String kind = figures.getString("reason").split(":", 2)[0];
			end(key, line.seconds(), "failed: " + kind, figures.getLong("last_event"));
		}
		else if (line.is(GatewayEvent.ITEM_RUN_CANCELLED)) {
			end(key, line.seconds(), "cancelled: " + figures.getString("cause"), figures.getLong("last_event"));
		}
		else {
			boolean completed = "completed".equals(figures.getString("state"));
			Line started = this.active.get(key);
			Double untilDue = millis(figures.getLong("due_ms"));
			if (untilDue == null && started != null) {
				untilDue = millis(started.figures().getLong("due_ms")) - (line.seconds() - started.seconds());
			}
			end(key, line.seconds(), completed ? ItemRun.COMPLETED : "given up", figures.getLong("events") - 1);
			this.results.add(new ItemResult(key.item(), line.host(), line.seconds(), completed,
					untilDue == null || untilDue >= 0));
		}
	}

	private void endAll(String host, double seconds, String end) {
		this.active.keySet()
			.stream()
			.filter((key) -> key.host().equals(host))
			.toList()
			.forEach((key) -> end(key, seconds, end, null));
	}

	private void end(RunKey key, double seconds, String end, Long lastEvent) {
		Line started = this.active.remove(key);
		if (started == null) {
			return;
		}
		Long resumeAfter = started.figures().getLong("resume_after");
		if (resumeAfter == null) {
			this.events.remove(key);
		}
		long known = this.events.getOrDefault(key, (resumeAfter != null) ? resumeAfter + 1 : 0);
		long total = (lastEvent != null) ? Math.max(known, lastEvent + 1) : known;
		this.events.put(key, total);
		this.runs.add(new ItemRun(key.item(), key.host(), this.domains.getOrDefault(key.host(), UNKNOWN_DOMAIN),
				started.seconds(), Math.max(started.seconds(), seconds), end, resumeAfter != null, total,
				total - known));
	}

	private static Double millis(Long value) {
		return (value != null) ? value / 1e3 : null;
	}

	private static int number(LogEvent event) {
		return event.getNumber();
	}

	/**
	 * A result that a host obtained.
	 *
	 * @param item the job and the item, not null
	 * @param host the host, not null
	 * @param seconds when the host obtained it
	 * @param completed false if the item was given up
	 * @param inTime whether it was not late
	 */
	record ItemResult(String item, String host, double seconds, boolean completed, boolean inTime) {

	}

	private record RunKey(String host, String item) {

	}

	private record Line(double seconds, double previousSeconds, String host, int number, JsonObject figures) {

		boolean is(LogEvent event) {
			return this.number == event.getNumber();
		}

	}

}
