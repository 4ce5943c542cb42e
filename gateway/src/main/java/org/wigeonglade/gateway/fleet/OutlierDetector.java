package org.wigeonglade.gateway.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;

/**
 * Finds runners that fail more of their requests than chance explains, from the outcomes
 * that all hosts see. Answers the pattern of a large fleet with a runner that fails part
 * of its requests while its health probe is good: each host sends it a request every few
 * seconds, and no host alone sees enough failures in a row. Failures that only hosts of
 * another failure domain see do not count, since they may come from the way there. Not
 * thread-safe.
 */
public final class OutlierDetector {

	/** Weight of failures below which chance or one broken connection explains them. */
	static final double FEWEST_FAILURES = 2;

	/**
	 * Part of failed requests from which avoiding the runner costs less than the retries
	 * that it causes.
	 */
	static final double FAILURE_SHARE = 0.2;

	/** First time of avoidance in milliseconds: two half-lives of an outcome. */
	static final long FIRST_AVOIDANCE_MILLIS = 2 * Outcomes.HALF_LIFE_MILLIS;

	/** Longest time of avoidance in milliseconds, so that a recovered runner is found. */
	static final long LONGEST_AVOIDANCE_MILLIS = 12_000;

	/**
	 * Time in milliseconds after an avoidance in which a runner that fails again is
	 * avoided for twice as long.
	 */
	static final long PROBATION_MILLIS = 5_000;

	/** Weight below which outcomes are dropped. */
	private static final double NEGLIGIBLE = 0.1;

	private final FailureDomain domain;

	private final Map<RunnerId, Aged> own = new HashMap<>();

	private final Map<HostId, Report> reports = new HashMap<>();

	private final Map<RunnerId, Avoidance> avoidances = new HashMap<>();

	/**
	 * Creates a detector without outcomes.
	 * @param domain the failure domain of this host, not null
	 */
	public OutlierDetector(FailureDomain domain) {
		this.domain = domain;
	}

	/**
	 * Records an outcome of this host.
	 * @param runner the runner, not null
	 * @param failed whether it speaks against the runner
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void add(RunnerId runner, boolean failed, long nowMillis) {
		Outcomes one = new Outcomes(failed ? 1 : 0, failed ? 0 : 1);
		Aged last = this.own.get(runner);
		Outcomes sum = (last != null) ? last.at(nowMillis).plus(one) : one;
		this.own.put(runner, new Aged(sum, nowMillis));
	}

	/**
	 * Returns what other hosts should know: the outcomes on runners that failed here or
	 * elsewhere.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the outcomes by runner
	 */
	public Map<RunnerId, Outcomes> getReport(long nowMillis) {
		Set<RunnerId> doubtful = new HashSet<>();
		this.reports.values().forEach((report) -> doubtful.addAll(report.outcomes.keySet()));
		Map<RunnerId, Outcomes> result = new HashMap<>();
		this.own.forEach((runner, aged) -> {
			Outcomes outcomes = aged.at(nowMillis);
			boolean failed = outcomes.failed() >= NEGLIGIBLE;
			if (failed || (doubtful.contains(runner) && outcomes.answered() >= NEGLIGIBLE)) {
				result.put(runner, outcomes);
			}
		});
		return result;
	}

	/**
	 * Replaces what another host reported.
	 * @param host the host, not null
	 * @param from its failure domain, not null
	 * @param outcomes its outcomes by runner, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void report(HostId host, FailureDomain from, Map<RunnerId, Outcomes> outcomes, long nowMillis) {
		if (outcomes.isEmpty()) {
			this.reports.remove(host);
		}
		else {
			this.reports.put(host, new Report(from, Map.copyOf(outcomes), nowMillis));
		}
	}

	/**
	 * Judges a runner after a new outcome or report.
	 * @param runner the runner, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the time of avoidance in milliseconds if one begins now, else empty
	 */
	public OptionalLong judge(RunnerId runner, long nowMillis) {
		Avoidance last = this.avoidances.get(runner);
		if (last != null && nowMillis < last.untilMillis) {
			return OptionalLong.empty();
		}
		Outcomes all = getOutcomes(runner, nowMillis);
		if (all.failed() < FEWEST_FAILURES || all.getFailureShare() < FAILURE_SHARE) {
			return OptionalLong.empty();
		}
		boolean again = last != null && nowMillis - last.untilMillis <= PROBATION_MILLIS;
		long length = again ? Math.min(LONGEST_AVOIDANCE_MILLIS, 2 * last.lengthMillis) : FIRST_AVOIDANCE_MILLIS;
		this.avoidances.put(runner, new Avoidance(nowMillis + length, length));
		return OptionalLong.of(length);
	}

	/**
	 * Returns whether a runner is an outlier.
	 * @param runner the runner, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true while others are preferred
	 */
	public boolean isOutlier(RunnerId runner, long nowMillis) {
		Avoidance avoidance = this.avoidances.get(runner);
		return avoidance != null && nowMillis < avoidance.untilMillis;
	}

	/**
	 * Returns the outcomes on a runner that count for this host.
	 * @param runner the runner, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the outcomes, never null
	 */
	public Outcomes getOutcomes(RunnerId runner, long nowMillis) {
		Aged mine = this.own.get(runner);
		Outcomes near = (mine != null) ? mine.at(nowMillis) : Outcomes.NONE;
		Outcomes far = Outcomes.NONE;
		for (Report report : this.reports.values()) {
			Outcomes outcomes = report.at(runner, nowMillis);
			if (report.domain.equals(this.domain)) {
				near = near.plus(outcomes);
			}
			else {
				far = far.plus(outcomes);
			}
		}
		return (near.failed() >= NEGLIGIBLE) ? near.plus(far) : near;
	}

	/**
	 * Drops what is known of runners that are no longer registered and what has aged out.
	 * @param directory the registered runners, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void retain(RunnerDirectory directory, long nowMillis) {
		this.own.entrySet()
			.removeIf((entry) -> directory.find(entry.getKey()).isEmpty()
					|| entry.getValue().at(nowMillis).equals(Outcomes.NONE));
		this.avoidances.keySet().removeIf((runner) -> directory.find(runner).isEmpty());
		this.reports.values().removeIf((report) -> nowMillis - report.millis > LoadBoard.REPORT_LIFETIME_MILLIS);
	}

	private record Aged(Outcomes outcomes, long millis) {

		Outcomes at(long nowMillis) {
			Outcomes aged = this.outcomes.agedBy(nowMillis - this.millis);
			return (aged.failed() + aged.answered() >= NEGLIGIBLE) ? aged : Outcomes.NONE;
		}

	}

	private record Report(FailureDomain domain, Map<RunnerId, Outcomes> outcomes, long millis) {

		Outcomes at(RunnerId runner, long nowMillis) {
			return this.outcomes.getOrDefault(runner, Outcomes.NONE).agedBy(nowMillis - this.millis);
		}

	}

	private record Avoidance(long untilMillis, long lengthMillis) {

	}

}
