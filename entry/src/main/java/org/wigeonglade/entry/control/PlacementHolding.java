package org.wigeonglade.entry.control;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.place.LoadPacer;
import org.wigeonglade.core.place.PlacementKey;
import org.wigeonglade.core.place.PlacementTerm;
import org.wigeonglade.core.place.RunnerObservation;
import org.wigeonglade.schema.generated.log.RunnerAssignment;
import org.wigeonglade.schema.generated.settings.ModelConfiguration;

/**
 * Keeps what one host knows of one placement key. Runs on the control loop.
 */
final class PlacementHolding {

	private final PlacementKey key;

	private final Map<UpstreamId, RunnerObservation> observed = new TreeMap<>();

	private final LoadPacer pacer;

	private PlacementTerm term = PlacementTerm.NONE;

	private long seenMillis;

	private long provenMillis;

	private boolean proven;

	private boolean appending;

	private boolean blocked;

	private List<RunnerAssignment> written = List.of();

	PlacementHolding(PlacementKey key, long nowMillis) {
		this.key = key;
		this.seenMillis = nowMillis;
		this.pacer = new LoadPacer(nowMillis);
	}

	PlacementKey getKey() {
		return this.key;
	}

	PlacementTerm getTerm() {
		return this.term;
	}

	long getSeenMillis() {
		return this.seenMillis;
	}

	long getProvenMillis() {
		return this.provenMillis;
	}

	boolean isProven() {
		return this.proven;
	}

	boolean isAppending() {
		return this.appending;
	}

	boolean isBlocked() {
		return this.blocked;
	}

	LoadPacer getPacer() {
		return this.pacer;
	}

	Map<UpstreamId, RunnerObservation> getObserved() {
		return this.observed;
	}

	List<RunnerAssignment> getWritten() {
		return this.written;
	}

	void setAppending(boolean value) {
		this.appending = value;
	}

	void setBlocked(boolean value) {
		this.blocked = value;
	}

	// Applies what the log says now. A record counts from when it was read, since the
	// time
	// in the record is of another clock.
	void apply(PlacementTerm next, long nowMillis) {
		if (next.offset() != this.term.offset()) {
			this.seenMillis = nowMillis;
		}
		if (next.term() != this.term.term() || next.released()) {
			this.proven = false;
			this.written = List.of();
			this.observed.clear();
		}
		this.term = next;
	}

	void prove(long startedMillis, List<RunnerAssignment> assignments) {
		this.proven = true;
		this.provenMillis = startedMillis;
		this.written = assignments;
	}

	void observe(UpstreamId runner, RunnerObservation observation) {
		if (observation == null) {
			this.observed.remove(runner);
		}
		else {
			this.observed.put(runner, observation);
		}
	}

	long getHighestEngineTerm() {
		return this.observed.values().stream().mapToLong(RunnerObservation::term).max().orElse(0);
	}

	static List<RunnerAssignment> toAssignments(Map<UpstreamId, ModelConfiguration> wanted) {
		return wanted.entrySet()
			.stream()
			.map((e) -> RunnerAssignment.newBuilder()
				.setUpstream(e.getKey().value())
				.setModel(e.getValue().getName())
				.setModelVersion(e.getValue().getVersion())
				.addAllAdapters((e.getValue().getAdapters() != null) ? e.getValue().getAdapters() : List.of())
				.setRole("serve")
				.build())
			.toList();
	}

}
