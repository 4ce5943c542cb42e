package org.wigeonglade.bench.capacity;

import java.util.List;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Measured points of one resource over a size and their least-squares line. Immutable.
 *
 * @param name the stable name
 * @param sizeUnit the unit of the size, such as {@code items}
 * @param valueUnit the unit of the value, such as {@code bytes}
 * @param points the measured points, at least three with different sizes
 * @param perUnit the value per unit of size
 * @param base the value at size 0
 * @param fit the coefficient of determination, 1 for points on the line
 */
public record Slope(String name, String sizeUnit, String valueUnit, List<Point> points, double perUnit, double base,
		double fit) {

	/** Least number of points, so that a line is more than a guess. */
	public static final int MIN_POINTS = 3;

	/**
	 * Creates the slope with a copy of the points.
	 */
	public Slope {
		points = List.copyOf(points);
	}

	/**
	 * Fits a line through points.
	 * @param name the stable name
	 * @param sizeUnit the unit of the size
	 * @param valueUnit the unit of the value
	 * @param points the points
	 * @return the slope, never null
	 * @throws InvalidRequestException if there are fewer than {@value #MIN_POINTS}
	 * different sizes
	 */
	public static Slope fit(String name, String sizeUnit, String valueUnit, List<Point> points) {
		if (points.stream().mapToDouble(Point::size).distinct().count() < MIN_POINTS) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					name + " has fewer than " + MIN_POINTS + " different sizes");
		}
		double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
		double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
		double sizeSquares = points.stream().mapToDouble((p) -> square(p.size() - meanSize)).sum();
		double valueSquares = points.stream().mapToDouble((p) -> square(p.value() - meanValue)).sum();
		double products = points.stream().mapToDouble((p) -> (p.size() - meanSize) * (p.value() - meanValue)).sum();
		double perUnit = products / sizeSquares;
		double fit = (valueSquares == 0) ? 1 : square(products) / (sizeSquares * valueSquares);
		return new Slope(name, sizeUnit, valueUnit, points, perUnit, meanValue - perUnit * meanSize, fit);
	}

	/**
	 * Returns the value that the line gives for a size.
	 * @param size the size
	 * @return the value
	 */
	public double at(double size) {
		return this.base + this.perUnit * size;
	}

	private static double square(double value) {
		return value * value;
	}

	/**
	 * Holds one measured point.
	 *
	 * @param size the size
	 * @param value the measured value
	 */
	public record Point(double size, double value) {
	}

}
