package org.wigeonglade.cli;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ObjDoubleConsumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.vertx.core.json.JsonObject;

/**
 * Counts the runs of batch items by how they ended and what came of their output. The
 * output of an item is that of one host; the output of others for the same item is lost.
 */
final class ItemReport {

	private static final long EPOCH_SECONDS = 1_000_000_000;

	private final Map<String, List<ItemRun>> runsByItem;

	private final Map<String, ItemLog.ItemResult> results = new HashMap<>();

	private final Map<String, Tally> ends = new TreeMap<>();

	private final Map<String, Tally> lost = new TreeMap<>();

	private final Map<String, Place> domains = new TreeMap<>();

	private final Map<Long, Place> seconds = new TreeMap<>();

	private final long acceptedItems;

	private final long droppedLines;

	private int anewElsewhere;

	ItemReport(ItemLog log) {
		this.acceptedItems = log.getAcceptedItems();
		this.droppedLines = log.getDroppedLines();
		this.runsByItem = log.getRuns().stream().collect(Collectors.groupingBy(ItemRun::item));
		log.getResults().forEach((result) -> this.results.putIfAbsent(result.item(), result));
		log.getRuns().forEach(this::count);
		this.runsByItem.values().forEach(this::countLosses);
	}

	/**
	 * Returns the runs by how they ended.
	 * @return the tallies by end, never null
	 */
	Map<String, Tally> getEnds() {
		return this.ends;
	}

	/**
	 * Returns the output that was thrown away, by the end of its last run.
	 * @return the tallies, in which a run stands for all that continued each other, never
	 * null
	 */
	Map<String, Tally> getLost() {
		return this.lost;
	}

	/**
	 * Returns how often a host ran an item from its first event while another host had
	 * run it before.
	 * @return the number
	 */
	int getAnewElsewhere() {
		return this.anewElsewhere;
	}

	/**
	 * Returns the number of items by what came of them.
	 * @return the number of items accepted, completed in time, completed late, given up
	 * and without a result, never null
	 */
	Map<String, Long> getOutcomes() {
		Map<String, Long> outcomes = new TreeMap<>();
		outcomes.put("accepted", this.acceptedItems);
		outcomes.put("in time", count((result) -> result.completed() && result.inTime()));
		outcomes.put("late", count((result) -> result.completed() && !result.inTime()));
		outcomes.put("given up", count((result) -> !result.completed()));
		Set<String> without = new HashSet<>(this.runsByItem.keySet());
		without.removeAll(this.results.keySet());
		outcomes.put("run without a result", (long) without.size());
		return outcomes;
	}

	/**
	 * Returns the number of items by a number that belongs to each.
	 * @param number computes the number from the runs of an item, not null
	 * @return the items by number, never null
	 */
	Map<Long, Long> countItems(Function<List<ItemRun>, Long> number) {
		return this.runsByItem.values()
			.stream()
			.collect(Collectors.groupingBy(number, TreeMap::new, Collectors.counting()));
	}

	JsonObject toJson() {
		JsonObject json = new JsonObject().put("items", write(getOutcomes())).put("dropped_lines", this.droppedLines);
		json.put("runs", write(this.ends, Tally::toJson)).put("lost", write(this.lost, Tally::toJson));
		json.put("begun_anew_elsewhere", this.anewElsewhere);
		json.put("items_by_runs", write(countItems(ItemReport::runs)));
		json.put("items_by_hosts", write(countItems(ItemReport::hosts)));
		json.put("domains", write(this.domains, Place::toJson));
		return json.put("seconds", write(this.seconds, Place::toJson));
	}

	/**
	 * Writes the report for people.
	 * @return the lines, never null
	 */
	List<String> toLines() {
		List<String> lines = new ArrayList<>();
		lines.add("items: " + write(getOutcomes()).encode());
		lines.add("items by number of runs: " + write(countItems(ItemReport::runs)).encode());
		lines.add("items by number of hosts: " + write(countItems(ItemReport::hosts)).encode());
		lines.add("runs from the first event after another host had run the item: " + this.anewElsewhere);
		if (this.droppedLines > 0) {
			lines.add("lines left out by hosts: " + this.droppedLines + "; the figures are too small");
		}
		lines.add("");
		lines.add("%-44s %8s %10s %10s".formatted("end of a run", "runs", "slot s", "events"));
		this.ends.forEach((end, tally) -> lines.add(tally.format(end)));
		lines.add("");
		lines.add("%-44s %8s %10s %10s".formatted("lost output by its last run", "outputs", "slot s", "events"));
		this.lost.forEach((end, tally) -> lines.add(tally.format(end)));
		lines.add("");
		lines.add(Place.HEAD.formatted("domain"));
		this.domains.forEach((domain, place) -> lines.add(place.format(domain)));
		lines.add("");
		lines.add(Place.HEAD.formatted("second"));
		this.seconds.forEach((second, place) -> lines.add(place.format(formatSecond(second))));
		return lines;
	}

	static long runs(List<ItemRun> runs) {
		return runs.size();
	}

	static long hosts(List<ItemRun> runs) {
		return runs.stream().map(ItemRun::host).distinct().count();
	}

	private long count(Predicate<ItemLog.ItemResult> filter) {
		return this.results.values().stream().filter(filter).count();
	}

	private void count(ItemRun run) {
		this.ends.computeIfAbsent(run.end(), (end) -> new Tally()).add(1, run.seconds(), run.newEvents());
		this.domains.computeIfAbsent(run.domain(), (domain) -> new Place()).add(run, run.seconds());
		place(run.startSeconds()).started++;
		place(run.endSeconds()).addEnd(run);
		forEachSecond(run, (place, part) -> place.seconds += part);
	}

	private void countLosses(List<ItemRun> runs) {
		Map<String, List<List<ItemRun>>> outputs = new HashMap<>();
		Set<String> hostsBefore = new HashSet<>();
		runs.stream().sorted(Comparator.comparingDouble(ItemRun::startSeconds)).forEach((run) -> {
			List<List<ItemRun>> ofHost = outputs.computeIfAbsent(run.host(), (host) -> new ArrayList<>());
			if (!run.resumed() || ofHost.isEmpty()) {
				ofHost.add(new ArrayList<>());
				this.anewElsewhere += (!run.resumed() && hostsBefore.stream().anyMatch((h) -> !h.equals(run.host())))
						? 1 : 0;
			}
			ofHost.getLast().add(run);
			hostsBefore.add(run.host());
		});
		outputs.values().stream().flatMap(Collection::stream).forEach(this::countLoss);
	}

	private void countLoss(List<ItemRun> output) {
		ItemRun last = output.getLast();
		ItemLog.ItemResult result = this.results.get(last.item());
		boolean kept = result != null && result.completed() && result.host().equals(last.host())
				&& last.end().equals(ItemRun.COMPLETED);
		if (kept) {
			return;
		}
		String reason = (result != null) ? last.end() : "no result; " + last.end();
		double total = output.stream().mapToDouble(ItemRun::seconds).sum();
		this.lost.computeIfAbsent(reason, (end) -> new Tally()).add(1, total, last.events());
		output.forEach((run) -> {
			this.domains.get(run.domain()).lostSeconds += run.seconds();
			forEachSecond(run, (place, part) -> place.lostSeconds += part);
		});
	}

	private void forEachSecond(ItemRun run, ObjDoubleConsumer<Place> consumer) {
		for (double from = run.startSeconds(); from < run.endSeconds();) {
			double to = Math.min(run.endSeconds(), Math.floor(from) + 1);
			consumer.accept(place(from), to - from);
			from = to;
		}
	}

	private Place place(double second) {
		return this.seconds.computeIfAbsent((long) Math.floor(second), (key) -> new Place());
	}

	// Seconds of lines without a prefix count from the epoch.
	private static String formatSecond(long second) {
		return (second < EPOCH_SECONDS) ? Long.toString(second) : Instant.ofEpochSecond(second).toString();
	}

	private static JsonObject write(Map<?, Long> counts) {
		return write(counts, Function.identity());
	}

	private static <V> JsonObject write(Map<?, V> values, Function<V, ?> writer) {
		JsonObject json = new JsonObject();
		values.forEach((key, value) -> json.put(key.toString(), writer.apply(value)));
		return json;
	}

	/**
	 * A number of runs with the time that they held slots and their events.
	 */
	static final class Tally {

		private int runs;

		private double seconds;

		private long events;

		private void add(int moreRuns, double moreSeconds, long moreEvents) {
			this.runs += moreRuns;
			this.seconds += moreSeconds;
			this.events += moreEvents;
		}

		int getRuns() {
			return this.runs;
		}

		double getSeconds() {
			return this.seconds;
		}

		long getEvents() {
			return this.events;
		}

		private JsonObject toJson() {
			return new JsonObject().put("runs", this.runs).put("slot_s", this.seconds).put("events", this.events);
		}

		private String format(String name) {
			return "%-44s %8d %10.1f %10d".formatted(name, this.runs, this.seconds, this.events);
		}

	}

	/**
	 * The runs of a second or of a failure domain.
	 */
	private static final class Place {

		private static final String HEAD = "%-24s    slot s  lost s started completed preempted failed cancelled cut";

		private int started;

		private int completed;

		private int preempted;

		private int failed;

		private int cancelled;

		private int cut;

		private double seconds;

		private double lostSeconds;

		private void add(ItemRun run, double slotSeconds) {
			this.started++;
			this.seconds += slotSeconds;
			addEnd(run);
		}

		private void addEnd(ItemRun run) {
			switch (run.end().split(":", 2)[0]) {
				case ItemRun.COMPLETED -> this.completed++;
				case "preempted" -> this.preempted++;
				case "failed" -> this.failed++;
				case "cancelled" -> this.cancelled++;
				default -> this.cut++;
			}
		}

		private JsonObject toJson() {
			return new JsonObject().put("slot_s", this.seconds)
				.put("lost_s", this.lostSeconds)
				.put("started", this.started)
				.put("completed", this.completed)
				.put("preempted", this.preempted)
				.put("failed", this.failed)
				.put("cancelled", this.cancelled)
				.put("cut", this.cut);
		}

		private String format(String name) {
			return "%-24s %9.1f %7.1f %7d %9d %9d %6d %9d %3d".formatted(name, this.seconds, this.lostSeconds,
					this.started, this.completed, this.preempted, this.failed, this.cancelled, this.cut);
		}

	}

}
