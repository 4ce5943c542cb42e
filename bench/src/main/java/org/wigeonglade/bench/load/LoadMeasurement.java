package org.wigeonglade.bench.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Holds the figures of one run.
 *
 * @param name the name of the run
 * @param seed the seed of the run
 * @param figures the figures by name, in the order of the report
 * @param curves latency in milliseconds by percentile, by name of the curve
 */
public record LoadMeasurement(String name, long seed, Map<String, Double> figures, Map<String, List<Point>> curves) {

	private static final double[] PERCENTILES = { 1, 5, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9, 100 };

	/**
	 * Creates the measurement with copies.
	 */
	public LoadMeasurement {
		figures = Collections.unmodifiableMap(new LinkedHashMap<>(figures));
		curves = Collections.unmodifiableMap(new TreeMap<>(curves));
	}

	/**
	 * Returns a measurement without curves.
	 * @param name the name of the run
	 * @param seed the seed of the run
	 * @param figures the figures by name
	 * @return a measurement, never null
	 */
	public static LoadMeasurement of(String name, long seed, Map<String, Double> figures) {
		return new LoadMeasurement(name, seed, figures, Map.of());
	}

	/**
	 * Returns the curve of a histogram of microseconds.
	 * @param micros the histogram, not null
	 * @return the latency in milliseconds at selected percentiles
	 */
	public static List<Point> curve(Histogram micros) {
		List<Point> points = new ArrayList<>();
		for (double percentile : PERCENTILES) {
			points.add(new Point(percentile, micros.getValueAtPercentile(percentile) / 1000.0));
		}
		return points;
	}

	/**
	 * Returns the measurement with more figures.
	 * @param more the figures by name, not null
	 * @return a measurement, never null
	 */
	public LoadMeasurement plusFigures(Map<String, Double> more) {
		Map<String, Double> all = new LinkedHashMap<>(this.figures);
		all.putAll(more);
		return new LoadMeasurement(this.name, this.seed, all, this.curves);
	}

	/**
	 * Point of a curve.
	 *
	 * @param percentile from 0 to 100
	 * @param millis the latency in milliseconds
	 */
	public record Point(double percentile, double millis) {
	}

}
