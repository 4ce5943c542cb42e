package org.wigeonglade.bench.model;

import java.util.Set;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Callers that compete for the capacity of a modelled fleet. Immutable.
 *
 * @param workspaces the workspaces, 0 for none; their rates follow Zipf's law
 * @param urgencies the priorities that the workspaces have in turn, at least 1
 * @param admission how requests are admitted, not null
 * @param disturbances what happens in each {@link #PERIOD_MILLIS}, not null
 */
public record ModelContention(int workspaces, int urgencies, Admission admission, Set<Disturbance> disturbances) {

	/** No workspaces, and requests are placed without an admission decision. */
	public static final ModelContention NONE = new ModelContention(0, 1, Admission.NONE, Set.of());

	/** Time from one disturbance to the next: five load cycles. */
	static final double PERIOD_MILLIS = 29_000;

	/** Start of the disturbances within a period, half a second before a load step. */
	static final double START_MILLIS = 14_500;

	/** Length of the time after the start for which requests are counted. */
	static final double WINDOW_MILLIS = 7_000;

	/** Exponent of Zipf's law. */
	private static final double EXPONENT = 1.2;

	/** The workspace with the highest rate sends this many times its usual rate. */
	private static final double FLOOD_FACTOR = 7.5;

	private static final double BURST_FACTOR = 1.5;

	private static final double JOBS_FACTOR = 6;

	/** Share of the runners that are gone. */
	private static final double GONE_SHARE = 0.17;

	/**
	 * Checks the numbers.
	 * @throws InvalidRequestException if one is out of its range
	 */
	public ModelContention {
		if (workspaces < 0 || urgencies < 1) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					"workspaces must be at least 0 and urgencies at least 1");
		}
	}

	double getUsualShare(int workspace) {
		double sum = 0;
		for (int i = 0; i < this.workspaces; i++) {
			sum += Math.pow(i + 1.0, -EXPONENT);
		}
		return Math.pow(workspace + 1.0, -EXPONENT) / sum;
	}

	double getBurstFactor(double nowMillis) {
		return isIn(Disturbance.BURST, nowMillis, 4_000) ? BURST_FACTOR : 1;
	}

	double getJobsFactor(double nowMillis) {
		return isIn(Disturbance.JOBS, nowMillis, 3_000) ? JOBS_FACTOR : 1;
	}

	// Of the workspace with the highest rate.
	double getFloodFactor(double nowMillis) {
		return isIn(Disturbance.FLOOD, nowMillis, 6_500) ? FLOOD_FACTOR : 1;
	}

	int getGoneRunners(int runners, double nowMillis) {
		return isIn(Disturbance.RUNNERS_GONE, nowMillis, WINDOW_MILLIS) ? (int) Math.round(GONE_SHARE * runners) : 0;
	}

	boolean isCounted(double arrivedMillis) {
		double sinceStart = arrivedMillis % PERIOD_MILLIS - START_MILLIS;
		return sinceStart >= 0 && sinceStart < WINDOW_MILLIS;
	}

	private boolean isIn(Disturbance disturbance, double nowMillis, double lengthMillis) {
		double sinceStart = nowMillis % PERIOD_MILLIS - START_MILLIS;
		return this.disturbances.contains(disturbance) && sinceStart >= 0 && sinceStart < lengthMillis;
	}

	/**
	 * How requests are admitted before they are placed.
	 */
	public enum Admission {

		/** Not at all. */
		NONE,

		/** By the use of workspaces at each host alone. */
		LOCAL,

		/** By the use of workspaces at all hosts, known with the lag of load reports. */
		EXCHANGED

	}

	/**
	 * A disturbance.
	 */
	public enum Disturbance {

		/** All callers send 1.5 times as much for 4 s. */
		BURST,

		/** Six times the items for 3 s. */
		JOBS,

		/** The largest workspace sends 7.5 times its usual rate for 6.5 s. */
		FLOOD,

		/** 17% of the runners take no requests for 7 s. */
		RUNNERS_GONE

	}

}
