package org.wigeonglade.core.place;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.schema.generated.settings.ModelConfiguration;

/**
 * Commands that a lease holder may send now. A load takes a runner out of service, so it
 * begins only while more runners are ready than the floor requires, and only at the rate
 * of the weight store.
 *
 * @param loads the runners that should load their assigned model now
 * @param confirms the runners that already serve it and only need to receive the term
 * @param blocked whether the floor holds a load back
 * @param ready the number of runners that serve a model of the service
 */
public record PlacementCommands(List<UpstreamId> loads, List<UpstreamId> confirms, boolean blocked, int ready) {

	/**
	 * Computes the next commands.
	 * @param term the term of the holder
	 * @param assigned the assigned model of each runner
	 * @param observed the last reported state of the runners; runners that did not
	 * respond are absent and count as not ready
	 * @param floor the smallest number of ready runners
	 * @param permits the number of loads that the weight store allows now
	 * @return the commands, with runners in order of their names
	 */
	public static PlacementCommands next(long term, Map<UpstreamId, ModelConfiguration> assigned,
			Map<UpstreamId, RunnerObservation> observed, int floor, int permits) {
		List<String> models = assigned.values().stream().map(ModelConfiguration::getName).distinct().toList();
		int ready = (int) observed.entrySet()
			.stream()
			.filter((e) -> assigned.containsKey(e.getKey()))
			.filter((e) -> !e.getValue().loading() && models.contains(e.getValue().model()))
			.count();
		List<UpstreamId> loads = new ArrayList<>();
		List<UpstreamId> confirms = new ArrayList<>();
		boolean blocked = false;
		int spare = ready - floor;
		for (UpstreamId runner : assigned.keySet().stream().sorted().toList()) {
			RunnerObservation current = observed.get(runner);
			if (current == null || current.loading()) {
				continue;
			}
			if (servesAssigned(current, assigned.get(runner))) {
				if (current.term() < term) {
					confirms.add(runner);
				}
				continue;
			}
			boolean serving = models.contains(current.model());
			if (serving && spare <= 0) {
				blocked = true;
			}
			else if (loads.size() < permits) {
				loads.add(runner);
				spare -= (serving) ? 1 : 0;
			}
		}
		return new PlacementCommands(List.copyOf(loads), List.copyOf(confirms), blocked, ready);
	}

	private static boolean servesAssigned(RunnerObservation current, ModelConfiguration assigned) {
		return current.model().equals(assigned.getName()) && current.version().equals(assigned.getVersion());
	}

}
