package org.wigeonglade.bench.load;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds repeated runs of the same load under stated conditions.
 *
 * @param title the title
 * @param conditions what a reader needs to repeat the runs, such as the command
 * @param runs the runs, at least one
 */
public record LoadReport(String title, Map<String, String> conditions, List<LoadMeasurement> runs) {

	/**
	 * Creates the report with copies.
	 */
	public LoadReport {
		conditions = Collections.unmodifiableMap(new TreeMap<>(conditions));
		runs = List.copyOf(runs);
	}

	/**
	 * Returns the spread of each figure over the runs.
	 * @return figure name to spread, in the order of the first run
	 */
	public Map<String, Spread> spread() {
		Map<String, List<Double>> values = new LinkedHashMap<>();
		for (LoadMeasurement run : this.runs) {
			run.figures()
				.forEach((name, value) -> values.computeIfAbsent(name, (ignored) -> new ArrayList<>()).add(value));
		}
		Map<String, Spread> spread = new LinkedHashMap<>();
		values.forEach((name, list) -> spread.put(name, Spread.of(list)));
		return spread;
	}

	/**
	 * Spread of one figure.
	 *
	 * @param min the smallest value
	 * @param median the middle value
	 * @param max the largest value
	 * @param runs the number of runs that have the figure
	 */
	public record Spread(double min, double median, double max, int runs) {

		static Spread of(List<Double> values) {
			double[] sorted = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
			int middle = sorted.length / 2;
			double median = (sorted.length % 2 == 1) ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
			return new Spread(sorted[0], median, Arrays.stream(sorted).max().getAsDouble(), sorted.length);
		}

	}

}
