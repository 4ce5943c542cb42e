package org.wigeonglade.bench.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;

/**
 * Measures several sizes of the fleet and fits slopes over them.
 */
public final class FleetBench {

	private static final Duration WARM_UP = Duration.ofSeconds(20);

	private FleetBench() {
	}

	/**
	 * Measures the sizes one after the other.
	 * @param options what to measure, not null
	 * @return the points, the slopes for each host more, and the verdict
	 */
	public static Map<String, Object> run(FleetOptions options) {
		List<FleetPoint> points = new ArrayList<>();
		int largest = options.sizes().stream().mapToInt(Integer::intValue).max().orElseThrow();
		// Compiles the code, so that the first size does not bear that cost alone.
		measure(options.withIdle(WARM_UP), largest);
		for (int size : options.sizes()) {
			points.add(measure(options, size));
		}
		Map<String, Object> report = new LinkedHashMap<>();
		report.put("points", points);
		report.put("slopes_per_host", getSlopes(points));
		report.put("ok", points.stream().allMatch(FleetPoint::ok));
		return report;
	}

	static Map<String, Double> getSlopes(List<FleetPoint> points) {
		Map<String, Double> slopes = new LinkedHashMap<>();
		slopes.put("config_in_force_ms", slope(points, FleetPoint::configInForceMsMax));
		slopes.put("control_cpu_percent", slope(points, FleetPoint::controlCpuPercent));
		slopes.put("control_bytes_per_s", slope(points, FleetPoint::controlBytesPerS));
		slopes.put("control_heap_mb", slope(points, FleetPoint::controlHeapMb));
		return slopes;
	}

	private static FleetPoint measure(FleetOptions options, int size) {
		try (FleetRun run = new FleetRun(options)) {
			return run.measure(size);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new PlatformException(ErrorCode.INTERNAL, "interrupted", ex);
		}
	}

	// Fits a line by least squares; one point has no slope.
	private static double slope(List<FleetPoint> points, ToDoubleFunction<FleetPoint> figure) {
		double meanX = points.stream().mapToInt(FleetPoint::hosts).average().orElse(0);
		double meanY = points.stream().mapToDouble(figure).average().orElse(0);
		double over = points.stream().mapToDouble((p) -> (p.hosts() - meanX) * (figure.applyAsDouble(p) - meanY)).sum();
		double under = points.stream().mapToDouble((p) -> Math.pow(p.hosts() - meanX, 2)).sum();
		return (under == 0) ? 0 : Math.round(over / under * 1000) / 1000.0;
	}

}
