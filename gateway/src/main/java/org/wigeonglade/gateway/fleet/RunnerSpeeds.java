package org.wigeonglade.gateway.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;

import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.ServiceName;

/**
 * The speeds of all runner processes, learned from the requests of all hosts. A host
 * measures the work of a runner relative to the mean of all runners of the service, so
 * that requests of different kinds are comparable, and tells it to the others in its
 * datagrams. Not thread-safe.
 */
public final class RunnerSpeeds {

	/**
	 * Decay in milliseconds of the mean time of a unit of work: long, so that a slow part
	 * of the fleet does not become the standard that it is measured by.
	 */
	private static final double UNIT_DECAY_MILLIS = 30_000;

	/** Time without work in milliseconds that a refusal by a full runner counts as. */
	private static final double REFUSAL_MILLIS = 100;

	/**
	 * Speeds that differ less from the mean count as equal to it, in addition to what
	 * chance explains: the deviation of the mean of as many runs as were observed. Where
	 * 15% of the runs are 2.5 times slower, one run deviates by 0.25.
	 */
	private static final double DEAD_BAND = 0.1;

	private static final double RUN_DEVIATION = 0.25;

	private static final double RUN_MILLIS = 800;

	/**
	 * Bounds of the speeds that placement uses, so that neither a fault of measurement
	 * nor a host with wrong reports starves or floods a runner. The lower one leaves each
	 * runner enough requests to notice that it has recovered.
	 */
	private static final double MIN_SPEED = 0.1;

	private static final double MAX_SPEED = 4;

	private final Map<RunnerId, RunnerSpeed> speeds = new HashMap<>();

	private final Map<ServiceName, Map<WorkKind, DecayingSum>> unitTimes = new HashMap<>();

	private final DatagramBudget budget = new DatagramBudget();

	private final ToIntFunction<RunnerId> requests;

	private final boolean enabled;

	private long droppedReports;

	/**
	 * Creates estimates without observations.
	 * @param requests returns the number of requests in progress on a runner from all
	 * hosts, not null
	 */
	public RunnerSpeeds(ToIntFunction<RunnerId> requests) {
		this(requests, true);
	}

	private RunnerSpeeds(ToIntFunction<RunnerId> requests, boolean enabled) {
		this.requests = requests;
		this.enabled = enabled;
	}

	/**
	 * Returns estimates that learn and report nothing, so that all runners count as being
	 * of mean speed.
	 * @return the estimates, never null
	 */
	public static RunnerSpeeds disabled() {
		return new RunnerSpeeds((runner) -> 0, false);
	}

	/**
	 * Records work of a runner that this host has seen.
	 * @param runner the process that did it, not null
	 * @param kind what was done, not null
	 * @param units how much was done, 0 if nothing was during the time
	 * @param timeMillis the time that it took; nothing is recorded unless it is above 0
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void observe(RunnerEntry runner, WorkKind kind, int units, double timeMillis, long nowMillis) {
		if (!this.enabled || !(timeMillis > 0) || units < 0) {
			return;
		}
		DecayingSum mean = this.unitTimes.computeIfAbsent(runner.service(), (s) -> new HashMap<>())
			.computeIfAbsent(kind, (k) -> new DecayingSum(UNIT_DECAY_MILLIS));
		double unitMillis = mean.getTime(nowMillis) / mean.getWork(nowMillis);
		double counted = (unitMillis > 0) ? Math.min(timeMillis, kind.getMaxFactor() * Math.max(1, units) * unitMillis)
				: timeMillis;
		if (units > 0) {
			mean.add(units, counted, nowMillis);
			unitMillis = mean.getTime(nowMillis) / mean.getWork(nowMillis);
		}
		if (unitMillis > 0) {
			speedOf(runner).observe(units * unitMillis, counted, this.requests.applyAsInt(runner.id()), nowMillis);
		}
	}

	/**
	 * Records that a runner refused a request because it is full.
	 * @param runner the process, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void recordRefusal(RunnerEntry runner, long nowMillis) {
		if (!this.enabled) {
			return;
		}
		speedOf(runner).observe(0, REFUSAL_MILLIS, runner.slots(), nowMillis);
	}

	/**
	 * Applies what another host has observed of a runner.
	 * @param host the other host, not null
	 * @param runner the registered process, not null
	 * @param code the report as a number
	 * @param nowMillis the monotonic time in milliseconds
	 * @return false if the report is impossible and was dropped
	 */
	public boolean applyReport(HostId host, RunnerEntry runner, int code, long nowMillis) {
		if (!this.enabled) {
			return true;
		}
		Optional<SpeedReport> report = SpeedReport.decode(code);
		if (report.isEmpty()) {
			this.droppedReports++;
			return false;
		}
		RunnerSpeed speed = speedOf(runner);
		if (speed.hasSameProcess(report.get())) {
			speed.applyReport(host, report.get(), this.requests.applyAsInt(runner.id()), nowMillis);
		}
		return true;
	}

	/**
	 * Selects what this host tells of runners in a datagram, so that it grows by less
	 * than a tenth.
	 * @param loaded the runners that the datagram names, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the reports as numbers by runner, never null
	 */
	public Map<RunnerId, Integer> selectReports(Collection<RunnerId> loaded, long nowMillis) {
		if (!this.enabled) {
			return Map.of();
		}
		List<RunnerId> idle = this.speeds.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isUntold() && !loaded.contains(entry.getKey()))
			.map(Map.Entry::getKey)
			.toList();
		return this.budget.select(loaded, idle, (runner) -> {
			RunnerSpeed speed = this.speeds.get(runner);
			return (speed != null) ? speed.tell(nowMillis).encode() : 0;
		});
	}

	/**
	 * Returns what has been learned of a runner.
	 * @param runner the process, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the capacity, never null
	 */
	public RunnerCapacity getCapacity(RunnerEntry runner, long nowMillis) {
		RunnerSpeed speed = this.speeds.get(runner.id());
		if (speed == null || !speed.isOf(runner.startedMillis())) {
			return RunnerCapacity.UNKNOWN;
		}
		double estimate = speed.getSpeed(nowMillis);
		double deadBand = DEAD_BAND + RUN_DEVIATION * Math.sqrt(RUN_MILLIS / Math.max(1, speed.getTime(nowMillis)));
		int knee = speed.getKnee(nowMillis);
		return (Math.abs(estimate - 1) < deadBand) ? new RunnerCapacity(1, knee)
				: new RunnerCapacity(Math.clamp(estimate, MIN_SPEED, MAX_SPEED), knee);
	}

	/**
	 * Returns the number of reports that were dropped because their values are
	 * impossible.
	 * @return the number since the start
	 */
	public long getDroppedReports() {
		return this.droppedReports;
	}

	/**
	 * Removes the state of runners that are no longer registered.
	 * @param directory the registered runners, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void removeUnregistered(RunnerDirectory directory, long nowMillis) {
		this.speeds.entrySet()
			.removeIf((entry) -> directory.find(entry.getKey())
				.filter((runner) -> entry.getValue().isOf(runner.startedMillis()))
				.isEmpty());
		this.speeds.values().forEach((speed) -> speed.removeHosts(nowMillis));
	}

	private RunnerSpeed speedOf(RunnerEntry runner) {
		return this.speeds.compute(runner.id(),
				(id, speed) -> (speed != null && speed.isOf(runner.startedMillis())) ? speed : new RunnerSpeed(runner));
	}

}
