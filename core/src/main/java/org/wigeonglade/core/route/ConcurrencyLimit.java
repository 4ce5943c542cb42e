package org.wigeonglade.core.route;

import java.time.Duration;

import org.wigeonglade.core.engine.LoadReport;

/**
 * Adaptive limit of the online requests in flight on one runner. It follows additive
 * increase and multiplicative decrease (AIMD), driven by first-token and inter-token
 * times. Immutable.
 */
public final class ConcurrencyLimit {

	/** Limit of a runner without measurements, and the end of its slow start. */
	private static final double INITIAL_LIMIT = 16;

	/** Upper bound of the limit. */
	private static final double MAX_LIMIT = 1024;

	/** Multiplicative decrease. */
	private static final double DECREASE_FACTOR = 0.85;

	/**
	 * Minimum time between decreases, so that the effect of one shows before the next.
	 */
	private static final long MIN_DECREASE_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

	/** Fraction of the limit that must be in use before it grows. */
	private static final double MIN_UTILIZATION_TO_INCREASE = 0.75;

	private final double limit;

	private final double slowStartThreshold;

	private final long lastDecreaseNanos;

	private ConcurrencyLimit(double limit, double slowStartThreshold, long lastDecreaseNanos) {
		this.limit = Math.min(MAX_LIMIT, Math.max(1, limit));
		this.slowStartThreshold = slowStartThreshold;
		this.lastDecreaseNanos = lastDecreaseNanos;
	}

	/**
	 * Returns the limit of a runner that was running when this host started.
	 * @param nowNanos the monotonic time
	 * @return a limit, never null
	 */
	public static ConcurrencyLimit initial(long nowNanos) {
		return new ConcurrencyLimit(INITIAL_LIMIT, 0, nowNanos - MIN_DECREASE_INTERVAL_NANOS);
	}

	/**
	 * Returns the limit of a runner that has just started or recovered: 1, growing by one
	 * with each response within its targets until the initial limit is reached.
	 * @param nowNanos the monotonic time
	 * @return a limit, never null
	 */
	public static ConcurrencyLimit slowStart(long nowNanos) {
		return new ConcurrencyLimit(1, INITIAL_LIMIT, nowNanos - MIN_DECREASE_INTERVAL_NANOS);
	}

	/**
	 * Returns the limit, rounded down to whole requests.
	 * @return a count, at least 1
	 */
	public int getLimit() {
		return (int) this.limit;
	}

	/**
	 * Returns whether the runner is in slow start.
	 * @return true until the limit reaches the slow-start threshold or is decreased
	 */
	public boolean isInSlowStart() {
		return this.limit < this.slowStartThreshold;
	}

	/**
	 * Returns the limit after a response.
	 * @param firstTokenRatio the first-token time divided by its target
	 * @param interTokenRatio the mean inter-token time divided by its target, 0 if
	 * unknown
	 * @param inFlight the requests in flight on the runner when the response ended
	 * @param nowNanos the monotonic time
	 * @return the new limit, never null
	 */
	public ConcurrencyLimit plusResponse(double firstTokenRatio, double interTokenRatio, int inFlight, long nowNanos) {
		if (firstTokenRatio > 1 || interTokenRatio > 1) {
			return decrease(inFlight, nowNanos);
		}
		if (isInSlowStart()) {
			return new ConcurrencyLimit(this.limit + 1, this.slowStartThreshold, this.lastDecreaseNanos);
		}
		if (inFlight < this.limit * MIN_UTILIZATION_TO_INCREASE) {
			return this;
		}
		return new ConcurrencyLimit(this.limit + 1 / this.limit, this.slowStartThreshold, this.lastDecreaseNanos);
	}

	/**
	 * Returns the limit after a load report. A report only lowers the limit, because it
	 * may be outdated. One without slots is ignored.
	 * @param report the report, not null
	 * @return the new limit, never null
	 */
	public ConcurrencyLimit withReport(LoadReport report) {
		if (report.slots() < 1 || this.limit <= report.slots()) {
			return this;
		}
		return new ConcurrencyLimit(report.slots(), Math.min(this.slowStartThreshold, report.slots()),
				this.lastDecreaseNanos);
	}

	private ConcurrencyLimit decrease(int inFlight, long nowNanos) {
		if (nowNanos - this.lastDecreaseNanos < MIN_DECREASE_INTERVAL_NANOS) {
			return this;
		}
		double base = Math.min(this.limit, Math.max(1, inFlight));
		return new ConcurrencyLimit(base * DECREASE_FACTOR, 0, nowNanos);
	}

}
