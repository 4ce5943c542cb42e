package org.wigeonglade.core.route;

import java.time.Duration;

import org.wigeonglade.core.engine.LoadReport;

/**
 * Limit of online requests in flight on one runner, learned by additive increase and
 * multiplicative decrease from first-token and inter-token times. Immutable.
 */
public final class ConcurrencyLimit {

	/** Limit of a runner about which nothing is known yet. */
	private static final double INITIAL = 16;

	/** Largest limit that is learned. */
	private static final double LARGEST = 1024;

	/** Factor of a decrease. */
	private static final double DECREASE = 0.85;

	/** Shortest time between two decreases: the effect of one must be visible first. */
	private static final long DECREASE_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

	/** Part of the limit that must be in use before it grows. */
	private static final double USED_PART = 0.75;

	private final double limit;

	private final double slowStartEnd;

	private final long decreasedAtNanos;

	private ConcurrencyLimit(double limit, double slowStartEnd, long decreasedAtNanos) {
		this.limit = Math.min(LARGEST, Math.max(1, limit));
		this.slowStartEnd = slowStartEnd;
		this.decreasedAtNanos = decreasedAtNanos;
	}

	/**
	 * Returns the limit of a runner that was running when this host started.
	 * @param nowNanos the monotonic time
	 * @return a limit, never null
	 */
	public static ConcurrencyLimit initial(long nowNanos) {
		return new ConcurrencyLimit(INITIAL, 0, nowNanos - DECREASE_INTERVAL_NANOS);
	}

	/**
	 * Returns the limit of a runner that has just started or come back: 1, growing by one
	 * with each good answer until the usual limit is reached.
	 * @param nowNanos the monotonic time
	 * @return a limit, never null
	 */
	public static ConcurrencyLimit slowStart(long nowNanos) {
		return new ConcurrencyLimit(1, INITIAL, nowNanos - DECREASE_INTERVAL_NANOS);
	}

	/**
	 * Returns the limit in whole requests.
	 * @return a count, at least 1
	 */
	public int getLimit() {
		return (int) this.limit;
	}

	/**
	 * Returns whether the runner is in slow start.
	 * @return true until the limit has reached its usual size
	 */
	public boolean isSlowStart() {
		return this.limit < this.slowStartEnd;
	}

	/**
	 * Returns the limit after an answer.
	 * @param firstTokenRatio first-token time divided by its target
	 * @param interTokenRatio mean inter-token time divided by its target, 0 if unknown
	 * @param inFlight the requests in flight on the runner when the answer ended
	 * @param nowNanos the monotonic time
	 * @return the new limit, never null
	 */
	public ConcurrencyLimit plusAnswer(double firstTokenRatio, double interTokenRatio, int inFlight, long nowNanos) {
		if (firstTokenRatio > 1 || interTokenRatio > 1) {
			return decrease(inFlight, nowNanos);
		}
		if (isSlowStart()) {
			return new ConcurrencyLimit(this.limit + 1, this.slowStartEnd, this.decreasedAtNanos);
		}
		if (inFlight < this.limit * USED_PART) {
			return this;
		}
		return new ConcurrencyLimit(this.limit + 1 / this.limit, this.slowStartEnd, this.decreasedAtNanos);
	}

	/**
	 * Returns the limit after a load report. A report only lowers the limit, since it may
	 * be old; a missing one changes nothing.
	 * @param report the report, not null
	 * @return the new limit, never null
	 */
	public ConcurrencyLimit withReport(LoadReport report) {
		if (report.slots() < 1 || this.limit <= report.slots()) {
			return this;
		}
		return new ConcurrencyLimit(report.slots(), Math.min(this.slowStartEnd, report.slots()), this.decreasedAtNanos);
	}

	private ConcurrencyLimit decrease(int inFlight, long nowNanos) {
		if (nowNanos - this.decreasedAtNanos < DECREASE_INTERVAL_NANOS) {
			return this;
		}
		double base = Math.min(this.limit, Math.max(1, inFlight));
		return new ConcurrencyLimit(base * DECREASE, 0, nowNanos);
	}

}
