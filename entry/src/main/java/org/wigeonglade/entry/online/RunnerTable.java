package org.wigeonglade.entry.online;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.member.FleetViewSource;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.schema.generated.peer.LinkPurpose;

/**
 * Keeps the state of all known runners in step with the fleet view. Thread-safe; readers
 * work on a snapshot that is replaced as a whole.
 */
public final class RunnerTable {

	private final FleetViewSource fleet;

	private final UpstreamClients clients;

	private volatile FleetView seen = FleetView.EMPTY;

	private volatile Map<UpstreamId, RunnerState> states = Map.of();

	RunnerTable(FleetViewSource fleet, UpstreamClients clients) {
		this.fleet = fleet;
		this.clients = clients;
	}

	/**
	 * Returns the state of all known runners, also leaving ones.
	 * @return the states, never null
	 */
	public Collection<RunnerState> getStates() {
		refresh();
		return this.states.values();
	}

	/**
	 * Finds a runner.
	 * @param id the identifier, not null
	 * @return the state, or null if it is unknown
	 */
	public RunnerState find(UpstreamId id) {
		refresh();
		return this.states.get(id);
	}

	List<RunnerState> getUsable(ServiceName service) {
		refresh();
		return this.states.values()
			.stream()
			.filter((s) -> s.getMember().service().equals(service) && !s.getMember().leaving())
			.toList();
	}

	private void refresh() {
		FleetView view = this.fleet.current();
		if (view != this.seen) {
			apply(view);
		}
	}

	private synchronized void apply(FleetView view) {
		Map<UpstreamId, RunnerState> next = new HashMap<>();
		for (UpstreamMember member : view.upstreams()) {
			if (!member.runner()) {
				continue;
			}
			RunnerState state = this.states.get(member.id());
			if (state == null || state.getMember().incarnation() != member.incarnation()
					|| !state.getMember().address().equals(member.address())) {
				state = new RunnerState(member, this.clients.engine(member, LinkPurpose.CONTROL));
			}
			else {
				state.setMember(member);
			}
			next.put(member.id(), state);
		}
		this.states = Map.copyOf(next);
		this.seen = view;
	}

}
