package org.wigeonglade.bench.history;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.wigeonglade.bench.history.HistoryEntry.ConfigAccepted;
import org.wigeonglade.bench.history.HistoryEntry.ConfigSeen;
import org.wigeonglade.bench.history.HistoryEntry.EngineWork;
import org.wigeonglade.bench.history.HistoryEntry.HostStop;
import org.wigeonglade.bench.history.HistoryEntry.JobAccepted;
import org.wigeonglade.bench.history.HistoryEntry.JobCancelled;
import org.wigeonglade.bench.history.HistoryEntry.OnlineCall;
import org.wigeonglade.bench.history.HistoryEntry.ServiceCall;
import org.wigeonglade.bench.history.HistoryEntry.ServiceRun;
import org.wigeonglade.bench.history.HistoryEntry.UpstreamLeaving;

/**
 * Pure checkers of the promises, one for each. Each returns the evidence of violations,
 * empty if the history keeps the promise.
 */
public final class PromiseCheckers {

	/** Time in which a leaving upstream may still get new work. */
	static final Duration LEAVING_BOUND = Duration.ofSeconds(3);

	/** Time in which a configuration must be in effect everywhere. */
	static final Duration CONFIG_BOUND = Duration.ofSeconds(7);

	/** Time in which items that were already granted may still start after a cancel. */
	static final Duration CANCEL_BOUND = Duration.ofSeconds(3);

	private static final String STARTED = "STARTED";

	private static final String NOT_RUN = "not_run";

	private static final int OK = 200;

	private PromiseCheckers() {
	}

	/**
	 * Checks all promises.
	 * @param history the history, not null
	 * @return all violations, empty if every promise held
	 */
	public static List<Violation> checkAll(History history) {
		Map<String, Function<History, List<String>>> checkers = new LinkedHashMap<>();
		checkers.put("P1", JobChecker::check);
		checkers.put("P2", PromiseCheckers::checkCancelledJobsStop);
		checkers.put("P3", BlockingChecker::check);
		checkers.put("P4", PromiseCheckers::checkWholeAnswers);
		checkers.put("P5", PromiseCheckers::checkNotRunRefusals);
		checkers.put("P6", PromiseCheckers::checkAtMostOnce);
		checkers.put("P7", PromiseCheckers::checkLeavingUpstreams);
		checkers.put("P8", PromiseCheckers::checkPlannedStops);
		checkers.put("P9", PromiseCheckers::checkConfigurations);
		List<Violation> violations = new ArrayList<>();
		checkers.forEach((promise, checker) -> checker.apply(history)
			.forEach((evidence) -> violations.add(new Violation(promise, history.seed(), evidence))));
		return violations;
	}

	static List<String> checkCancelledJobsStop(History history) {
		Map<String, Set<String>> promptsOfJob = new HashMap<>();
		history.of(JobAccepted.class)
			.forEach((job) -> promptsOfJob.put(job.batchId(), new HashSet<>(job.prompts().values())));
		List<String> evidence = new ArrayList<>();
		history.of(JobCancelled.class).forEach((cancel) -> {
			Set<String> prompts = promptsOfJob.getOrDefault(cancel.batchId(), Set.of());
			history.of(EngineWork.class)
				.filter((work) -> work.kind().equals(STARTED) && prompts.contains(work.prompt()))
				.filter((work) -> work.nanos() > cancel.nanos() + CANCEL_BOUND.toNanos())
				.forEach((work) -> evidence.add("an item of " + cancel.batchId() + " started at " + work.engine() + " "
						+ millis(work.nanos() - cancel.nanos()) + " ms after its cancellation: " + work.prompt()));
		});
		return evidence;
	}

	static List<String> checkWholeAnswers(History history) {
		List<String> evidence = new ArrayList<>();
		history.of(OnlineCall.class).filter(OnlineCall::whole).forEach((call) -> {
			if (!call.text().equals(call.expected())) {
				evidence.add("the answer of " + call.host() + " to '" + call.prompt() + "' is '" + call.text()
						+ "' instead of '" + call.expected() + "'");
			}
		});
		history.of(OnlineCall.class)
			.filter((call) -> !call.whole() && call.status() == OK && call.errorCode().isEmpty())
			.forEach((call) -> evidence
				.add("the answer of " + call.host() + " to '" + call.prompt() + "' ended without end mark or error"));
		return evidence;
	}

	static List<String> checkNotRunRefusals(History history) {
		Set<String> started = new HashSet<>();
		history.of(EngineWork.class)
			.filter((work) -> work.kind().equals(STARTED))
			.forEach((work) -> started.add(work.prompt()));
		List<String> evidence = new ArrayList<>();
		history.of(OnlineCall.class)
			.filter((call) -> call.ran().equals(NOT_RUN) && started.contains(call.prompt()))
			.forEach((call) -> evidence.add(call.host() + " reported not_run (" + call.errorCode()
					+ ") but an engine started it: " + call.prompt()));
		Map<String, Long> firstRun = new HashMap<>();
		history.of(ServiceRun.class).forEach((run) -> firstRun.putIfAbsent(run.key(), run.nanos()));
		history.of(ServiceCall.class)
			.filter((call) -> call.ran().equals(NOT_RUN) && firstRun.containsKey(call.key()))
			.filter((call) -> firstRun.get(call.key()) > call.sentNanos() && firstRun.get(call.key()) < call.nanos())
			.forEach((call) -> evidence.add(call.host() + " reported not_run but the service ran key " + call.key()));
		return evidence;
	}

	static List<String> checkAtMostOnce(History history) {
		Map<String, Integer> runs = new HashMap<>();
		history.of(ServiceRun.class)
			.filter((run) -> !run.key().isEmpty())
			.forEach((run) -> runs.merge(run.key(), 1, Integer::sum));
		List<String> evidence = new ArrayList<>();
		runs.forEach((key, count) -> {
			if (count > 1) {
				evidence.add("the non-idempotent call with key " + key + " ran " + count + " times");
			}
		});
		return evidence;
	}

	static List<String> checkLeavingUpstreams(History history) {
		List<String> evidence = new ArrayList<>();
		history.of(UpstreamLeaving.class)
			.forEach((leaving) -> history.of(EngineWork.class)
				.filter((work) -> work.engine().equals(leaving.upstream()) && work.kind().equals("QUEUED"))
				.filter((work) -> work.nanos() > leaving.nanos() + LEAVING_BOUND.toNanos())
				.forEach((work) -> evidence.add(leaving.upstream() + " got new work "
						+ millis(work.nanos() - leaving.nanos()) + " ms after it was leaving: " + work.prompt())));
		return evidence;
	}

	static List<String> checkPlannedStops(History history) {
		List<String> evidence = new ArrayList<>();
		history.of(HostStop.class)
			.forEach((stop) -> history.of(OnlineCall.class)
				.filter((call) -> call.host().equals(stop.host()) && call.sentNanos() < stop.beginNanos())
				.filter((call) -> call.nanos() > stop.beginNanos() && !call.whole() && !call.ran().equals(NOT_RUN))
				.forEach((call) -> evidence.add("the planned stop of " + stop.host() + " interrupted '" + call.prompt()
						+ "' (" + call.errorCode() + ")")));
		return evidence;
	}

	static List<String> checkConfigurations(History history) {
		List<String> evidence = new ArrayList<>();
		Set<Long> accepted = new HashSet<>();
		history.of(ConfigAccepted.class).forEach((change) -> {
			if (!accepted.add(change.version())) {
				evidence.add("version " + change.version() + " was accepted from two operators");
			}
		});
		Map<String, Long> seen = new HashMap<>();
		history.of(ConfigSeen.class).forEach((read) -> {
			Long before = seen.put(read.host(), read.version());
			if (before != null && before > read.version()) {
				evidence.add(read.host() + " went back from version " + before + " to " + read.version());
			}
			history.of(ConfigAccepted.class)
				.filter((change) -> change.version() > read.version())
				.filter((change) -> read.nanos() > change.nanos() + CONFIG_BOUND.toNanos())
				.forEach((change) -> evidence
					.add(read.host() + " is at version " + read.version() + " " + millis(read.nanos() - change.nanos())
							+ " ms after version " + change.version() + " was accepted"));
		});
		return evidence;
	}

	private static long millis(long nanos) {
		return nanos / 1_000_000;
	}

}
