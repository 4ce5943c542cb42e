package org.wigeonglade.gateway.runner;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.gateway.fleet.RunnerDirectory;
import org.wigeonglade.gateway.fleet.RunnerEntry;

/**
 * Opens connections to runners that receive no requests, to find out whether they can be
 * reached again: to any runner while this host is cut off from all of them, and to one
 * runner of each failure domain that is suspected to be partitioned. Tries one runner
 * after the other. Confined to the event loop.
 */
final class RunnerProber {

	private final RunnerConnectionPool pool;

	private final RunnerDirectory directory;

	private int rounds;

	RunnerProber(RunnerConnectionPool pool, RunnerDirectory directory) {
		this.pool = pool;
		this.directory = directory;
	}

	void probe(Predicate<FailureDomain> suspected) {
		List<RunnerEntry> entries = List.copyOf(this.directory.getEntries());
		if (this.pool.getPaths().isCutOff() && !entries.isEmpty()) {
			this.pool.probeDirectly(select(entries));
		}
		Map<FailureDomain, List<RunnerEntry>> domains = entries.stream()
			.collect(Collectors.groupingBy(RunnerEntry::domain));
		domains.forEach((domain, runners) -> {
			if (suspected.test(domain)) {
				this.pool.probe(select(runners));
			}
		});
		this.rounds++;
	}

	private RunnerEntry select(List<RunnerEntry> runners) {
		return runners.get(Math.floorMod(this.rounds, runners.size()));
	}

}
