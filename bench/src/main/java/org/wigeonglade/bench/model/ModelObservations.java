package org.wigeonglade.bench.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

import org.wigeonglade.core.id.HostId;
import org.wigeonglade.gateway.fleet.RunnerCapacity;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.fleet.RunnerSpeeds;
import org.wigeonglade.gateway.fleet.WorkKind;

/**
 * What each modelled host has learned of the speeds of runners.
 */
final class ModelObservations {

	/** Time of an event at a runner of mean speed in milliseconds. */
	private static final double EVENT_MILLIS = 40;

	private final List<RunnerSpeeds> hosts = new ArrayList<>();

	private final List<HostId> ids = new ArrayList<>();

	private final List<RunnerEntry> entries;

	ModelObservations(int hostCount, List<RunnerEntry> entries, ModelView view) {
		this.entries = entries;
		for (int i = 0; i < hostCount; i++) {
			int host = i;
			this.hosts
				.add(new RunnerSpeeds((runner) -> view.getLoad(host, Integer.parseInt(runner.value())).getTotal()));
			this.ids.add(HostId.of("host-" + i));
		}
	}

	void observe(ModelWork work, int runner, double doneMillis, double elapsedMillis, double nowMillis) {
		// Events are counted in whole numbers, as a host receives them.
		int events = work.takeEvents(doneMillis, EVENT_MILLIS);
		this.hosts.get(work.getHost())
			.observe(this.entries.get(runner), work.isBatch() ? WorkKind.ITEM_EVENT : WorkKind.EVENT, events,
					elapsedMillis, Math.round(nowMillis));
	}

	void responded(ModelWork work, int runner, double nowMillis) {
		this.hosts.get(work.getHost())
			.observe(this.entries.get(runner), WorkKind.RESPONSE, 1, nowMillis - work.getStartedMillis(),
					Math.round(nowMillis));
	}

	void refused(int host, int runner, double nowMillis) {
		this.hosts.get(host).recordRefusal(this.entries.get(runner), Math.round(nowMillis));
	}

	Map<RunnerId, Integer> report(int host, Collection<RunnerId> loaded, double nowMillis) {
		return this.hosts.get(host).selectReports(loaded, Math.round(nowMillis));
	}

	void receive(int host, int from, Map<RunnerId, Integer> codes, double nowMillis) {
		codes.forEach((runner, code) -> this.hosts.get(host)
			.applyReport(this.ids.get(from), this.entries.get(Integer.parseInt(runner.value())), code,
					Math.round(nowMillis)));
	}

	RunnerCapacity getCapacity(int host, int runner, double nowMillis) {
		return this.hosts.get(host).getCapacity(this.entries.get(runner), Math.round(nowMillis));
	}

}
