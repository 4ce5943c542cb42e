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
 * State of one placement on this host: the current term, the lease of this host, the
 * durable assignments and the last observations of the runners. Runs on the control loop.
 */
final class PlacementTracker {

	private final PlacementKey key;

	private final Map<UpstreamId, RunnerObservation> observations = new TreeMap<>();

	private final LoadPacer pacer;

	private PlacementTerm term = PlacementTerm.NONE;

	private long recordReadMillis;

	private long leaseStartMillis;

	private boolean leaseConfirmed;

	private boolean appending;

	private boolean blocked;

	private List<RunnerAssignment> durableAssignments = List.of();

	PlacementTracker(PlacementKey key, long nowMillis) {
		this.key = key;
		this.recordReadMillis = nowMillis;
		this.pacer = new LoadPacer(nowMillis);
	}

	PlacementKey getKey() {
		return this.key;
	}

	PlacementTerm getTerm() {
		return this.term;
	}

	long getRecordReadMillis() {
		return this.recordReadMillis;
	}

	long getLeaseStartMillis() {
		return this.leaseStartMillis;
	}

	boolean isLeaseConfirmed() {
		return this.leaseConfirmed;
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

	Map<UpstreamId, RunnerObservation> getObservations() {
		return this.observations;
	}

	List<RunnerAssignment> getDurableAssignments() {
		return this.durableAssignments;
	}

	void setAppending(boolean value) {
		this.appending = value;
	}

	void setBlocked(boolean value) {
		this.blocked = value;
	}

	// Applies the newest term of the log. The lease of another host is measured from
	// the local time at which its record was read, since clocks of hosts may differ.
	void apply(PlacementTerm next, long nowMillis) {
		if (next.offset() != this.term.offset()) {
			this.recordReadMillis = nowMillis;
		}
		if (next.term() != this.term.term() || next.released()) {
			this.leaseConfirmed = false;
			this.durableAssignments = List.of();
			this.observations.clear();
		}
		this.term = next;
	}

	void confirmLease(long appendStartMillis, List<RunnerAssignment> assignments) {
		this.leaseConfirmed = true;
		this.leaseStartMillis = appendStartMillis;
		this.durableAssignments = assignments;
	}

	void observe(UpstreamId runner, RunnerObservation observation) {
		if (observation == null) {
			this.observations.remove(runner);
		}
		else {
			this.observations.put(runner, observation);
		}
	}

	long getHighestEngineTerm() {
		return this.observations.values().stream().mapToLong(RunnerObservation::term).max().orElse(0);
	}

	static List<RunnerAssignment> toAssignments(Map<UpstreamId, ModelConfiguration> desired) {
		return desired.entrySet()
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
