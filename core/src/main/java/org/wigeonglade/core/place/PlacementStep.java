package org.wigeonglade.core.place;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.schema.generated.settings.ModelConfiguration;

/**
 * Decides which commands a holder may give now. A load takes a runner out of service, so
 * it begins only while more runners are ready than the floor asks for, and only as fast
 * as the weight store allows.
 *
 * @param loads the runners that should load their wanted model now
 * @param confirms the runners that already serve it and only need to learn the term
 * @param blocked whether a load waits because of the floor
 * @param ready the number of runners that serve a model of the service
 */
public record PlacementStep(List<UpstreamId> loads, List<UpstreamId> confirms, boolean blocked, int ready) {

	/**
	 * Decides the next commands.
	 * @param term the term of the holder
	 * @param wanted the wanted model of each runner
	 * @param observed what the runners told last; runners without an answer are left out
	 * and count as not ready
	 * @param floor the smallest number of ready runners
	 * @param permits the number of loads that the weight store allows now
	 * @return the step, with runners in order of their names
	 */
	public static PlacementStep next(long term, Map<UpstreamId, ModelConfiguration> wanted,
			Map<UpstreamId, RunnerObservation> observed, int floor, int permits) {
		List<String> models = wanted.values().stream().map(ModelConfiguration::getName).distinct().toList();
		int ready = (int) observed.entrySet()
			.stream()
			.filter((e) -> wanted.containsKey(e.getKey()))
			.filter((e) -> !e.getValue().loading() && models.contains(e.getValue().model()))
			.count();
		List<UpstreamId> loads = new ArrayList<>();
		List<UpstreamId> confirms = new ArrayList<>();
		boolean blocked = false;
		int spare = ready - floor;
		for (UpstreamId runner : wanted.keySet().stream().sorted().toList()) {
			RunnerObservation now = observed.get(runner);
			if (now == null || now.loading()) {
				continue;
			}
			if (isWanted(now, wanted.get(runner))) {
				if (now.term() < term) {
					confirms.add(runner);
				}
				continue;
			}
			boolean serving = models.contains(now.model());
			if (serving && spare <= 0) {
				blocked = true;
			}
			else if (loads.size() < permits) {
				loads.add(runner);
				spare -= (serving) ? 1 : 0;
			}
		}
		return new PlacementStep(List.copyOf(loads), List.copyOf(confirms), blocked, ready);
	}

	private static boolean isWanted(RunnerObservation now, ModelConfiguration wanted) {
		return now.model().equals(wanted.getName()) && now.version().equals(wanted.getVersion());
	}

}
