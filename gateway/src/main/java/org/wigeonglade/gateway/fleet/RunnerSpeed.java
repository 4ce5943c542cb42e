package org.wigeonglade.gateway.fleet;

import java.util.HashMap;
import java.util.Map;

import org.wigeonglade.core.id.HostId;

/**
 * Estimates the speed of one runner process from the observations of all hosts. A long
 * mean tells lasting differences; a short one replaces it when they contradict each
 * other, so that a runner that suddenly becomes slower is noticed within a second. Not
 * thread-safe.
 */
final class RunnerSpeed {

	/** Decay of the short mean in milliseconds. */
	static final double SHORT_DECAY_MILLIS = 500;

	private static final double LONG_DECAY_MILLIS = 5_000;

	/**
	 * Factor between both means from which the runner has changed. Episodes of 2.5 times
	 * slower concern single runs, of which several share the short mean.
	 */
	private static final double CHANGE_FACTOR = 1.7;

	/**
	 * Slot time in milliseconds that the short mean needs to replace the long one; less
	 * may be a single run.
	 */
	private static final double MIN_CHANGE_EVIDENCE_MILLIS = 800;

	/**
	 * Slot time in milliseconds for which a runner counts as being of mean speed. As
	 * observations lose their weight, a runner without requests returns to the mean and
	 * is tried again.
	 */
	private static final double PRIOR_MILLIS = 300;

	/** Longest time in milliseconds that the report of one host counts for. */
	private static final double MAX_REPORT_MILLIS = 4_000;

	/** Interval in milliseconds at which the knee is computed. */
	private static final long KNEE_INTERVAL_MILLIS = 1_000;

	/** Hosts of the own failure domain and the others get datagrams of their own. */
	private static final int DESTINATIONS = 2;

	private final long startedMillis;

	private final DecayingSum own = new DecayingSum(SHORT_DECAY_MILLIS);

	private final DecayingSum recent = new DecayingSum(SHORT_DECAY_MILLIS);

	private final DecayingSum lasting = new DecayingSum(LONG_DECAY_MILLIS);

	private final Map<HostId, DecayingSum> reported = new HashMap<>();

	private final ThroughputCurve curve;

	private int knee = Integer.MAX_VALUE;

	private long kneeAsOfMillis;

	private int untold;

	RunnerSpeed(RunnerEntry process) {
		this.startedMillis = process.startedMillis();
		this.curve = new ThroughputCurve(process.slots());
	}

	boolean isOf(long started) {
		return this.startedMillis == started;
	}

	// Work is measured in the time that a runner of mean speed takes for it.
	void observe(double work, double timeMillis, int requests, long nowMillis) {
		this.untold = DESTINATIONS;
		this.own.add(work, timeMillis, nowMillis);
		this.recent.add(work, timeMillis, nowMillis);
		addLasting(work, timeMillis, requests, nowMillis);
	}

	// Returns whether this host has observed the runner since it last told about it.
	boolean isUntold() {
		return this.untold > 0;
	}

	SpeedReport tell(long nowMillis) {
		this.untold--;
		double time = this.own.getTime(nowMillis);
		return new SpeedReport((time > 0) ? this.own.getWork(nowMillis) / time : 1, time,
				SpeedReport.hashOf(this.startedMillis));
	}

	// A report repeats what the host has told before, less its decay: the difference is
	// new.
	void applyReport(HostId host, SpeedReport report, int requests, long nowMillis) {
		DecayingSum last = this.reported.computeIfAbsent(host, (h) -> new DecayingSum(SHORT_DECAY_MILLIS));
		double time = Math.min(MAX_REPORT_MILLIS, report.timeMillis());
		double newTime = time - last.getTime(nowMillis);
		double newWork = report.speed() * time - last.getWork(nowMillis);
		last.set(report.speed() * time, time, nowMillis);
		this.recent.add(newWork, newTime, nowMillis);
		if (newTime > 0) {
			addLasting(Math.max(0, newWork), newTime, requests, nowMillis);
		}
	}

	boolean hasSameProcess(SpeedReport report) {
		return report.process() == SpeedReport.hashOf(this.startedMillis);
	}

	/**
	 * Returns the estimate.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the speed relative to the mean of the service, above 0
	 */
	double getSpeed(long nowMillis) {
		return (this.lasting.getWork(nowMillis) + PRIOR_MILLIS) / (this.lasting.getTime(nowMillis) + PRIOR_MILLIS);
	}

	// Returns the slot time that the estimate is based on, in milliseconds.
	double getTime(long nowMillis) {
		return this.lasting.getTime(nowMillis);
	}

	void removeHosts(long nowMillis) {
		this.reported.values().removeIf((sum) -> sum.getTime(nowMillis) < 1);
	}

	// Returns the number of requests beyond which more of them yield no more throughput.
	int getKnee(long nowMillis) {
		if (nowMillis - this.kneeAsOfMillis >= KNEE_INTERVAL_MILLIS) {
			this.kneeAsOfMillis = nowMillis;
			this.knee = this.curve.getKnee(nowMillis);
		}
		return this.knee;
	}

	private void addLasting(double work, double timeMillis, int requests, long nowMillis) {
		this.lasting.add(work, timeMillis, nowMillis);
		this.curve.add(requests, work, timeMillis, nowMillis);
		detectChange(nowMillis);
	}

	private void detectChange(long nowMillis) {
		double time = this.recent.getTime(nowMillis);
		if (time < MIN_CHANGE_EVIDENCE_MILLIS) {
			return;
		}
		double work = this.recent.getWork(nowMillis);
		double recentSpeed = (work + PRIOR_MILLIS / 4) / (time + PRIOR_MILLIS / 4);
		double ratio = recentSpeed / getSpeed(nowMillis);
		if (ratio > CHANGE_FACTOR || ratio < 1 / CHANGE_FACTOR) {
			this.lasting.set(work, time, nowMillis);
			this.curve.clear();
			this.knee = Integer.MAX_VALUE;
		}
	}

}
