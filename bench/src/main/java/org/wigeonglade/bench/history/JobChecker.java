package org.wigeonglade.bench.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wigeonglade.bench.history.HistoryEntry.JobAccepted;
import org.wigeonglade.bench.history.HistoryEntry.JobResults;

/**
 * Checks P1: each item of an accepted job has one outcome, which is right, stays readable
 * and never changes; a key belongs to one job.
 */
final class JobChecker {

	private static final String FAILED = "!";

	private final Map<String, JobAccepted> jobs = new HashMap<>();

	private final Map<String, Map<String, String>> known = new HashMap<>();

	private final List<String> evidence = new ArrayList<>();

	private JobChecker() {
	}

	static List<String> check(History history) {
		JobChecker checker = new JobChecker();
		Map<String, String> jobOfKey = new HashMap<>();
		history.of(JobAccepted.class).forEach((job) -> {
			checker.jobs.put(job.batchId(), job);
			String before = jobOfKey.put(job.key(), job.batchId());
			if (before != null && !before.equals(job.batchId())) {
				checker.evidence.add("key " + job.key() + " belongs to " + before + " and to " + job.batchId());
			}
		});
		history.of(JobResults.class).forEach(checker::checkRead);
		return checker.evidence;
	}

	private void checkRead(JobResults read) {
		JobAccepted job = this.jobs.get(read.batchId());
		if (job == null) {
			return;
		}
		Map<String, String> before = this.known.computeIfAbsent(read.batchId(), (ignored) -> new HashMap<>());
		for (String customId : before.keySet()) {
			if (!read.outcomes().containsKey(customId)) {
				this.evidence.add("the outcome of " + name(read, customId) + " is no longer readable");
			}
		}
		read.outcomes().forEach((customId, outcomes) -> checkItem(job, read, customId, outcomes, before));
		if (read.last()) {
			job.prompts().keySet().forEach((customId) -> {
				if (!read.outcomes().containsKey(customId)) {
					this.evidence.add(name(read, customId) + " has no outcome although the job ended");
				}
			});
		}
	}

	private void checkItem(JobAccepted job, JobResults read, String customId, List<String> outcomes,
			Map<String, String> before) {
		if (outcomes.size() != 1) {
			this.evidence.add(name(read, customId) + " has " + outcomes.size() + " outcomes");
			return;
		}
		String outcome = outcomes.get(0);
		String earlier = before.put(customId, outcome);
		if (earlier != null && !earlier.equals(outcome)) {
			this.evidence.add("the outcome of " + name(read, customId) + " changed");
		}
		if (!job.prompts().containsKey(customId)) {
			this.evidence.add(name(read, customId) + " was never submitted");
		}
		else if (!outcome.startsWith(FAILED) && !outcome.equals(job.expected().get(customId))) {
			this.evidence.add(name(read, customId) + " has the result of another item: '" + outcome + "'");
		}
	}

	private static String name(JobResults read, String customId) {
		return "item " + customId + " of " + read.batchId();
	}

}
