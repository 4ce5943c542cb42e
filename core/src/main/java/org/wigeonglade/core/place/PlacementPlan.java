package org.wigeonglade.core.place;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.schema.generated.settings.ModelConfiguration;

/**
 * Decides which model each runner of a key should serve. Runners are shared by demand,
 * every model gets one first, and a runner keeps its model where that is possible.
 */
public final class PlacementPlan {

	private PlacementPlan() {
	}

	/**
	 * Plans the models of the runners.
	 * @param models the models of the service in the order of the configuration; with
	 * fewer runners than models the first ones are served
	 * @param runners the runners that are not leaving
	 * @param demand the demand by name of a model; models without a figure count equally
	 * @param serving the model that each runner serves now
	 * @return the wanted model of each runner
	 */
	public static Map<UpstreamId, ModelConfiguration> plan(List<ModelConfiguration> models, List<UpstreamId> runners,
			Map<String, Double> demand, Map<UpstreamId, String> serving) {
		Map<UpstreamId, ModelConfiguration> plan = new TreeMap<>();
		if (models.isEmpty() || runners.isEmpty()) {
			return plan;
		}
		Map<String, Integer> open = share(models, runners.size(), demand);
		List<UpstreamId> rest = new ArrayList<>();
		for (UpstreamId runner : runners.stream().sorted().toList()) {
			String now = serving.getOrDefault(runner, "");
			if (open.getOrDefault(now, 0) > 0) {
				open.merge(now, -1, Integer::sum);
				plan.put(runner, find(models, now));
			}
			else {
				rest.add(runner);
			}
		}
		for (UpstreamId runner : rest) {
			String next = models.stream()
				.map(ModelConfiguration::getName)
				.filter((m) -> open.get(m) > 0)
				.findFirst()
				.orElseThrow();
			open.merge(next, -1, Integer::sum);
			plan.put(runner, find(models, next));
		}
		return plan;
	}

	private static Map<String, Integer> share(List<ModelConfiguration> models, int runners,
			Map<String, Double> demand) {
		Map<String, Integer> counts = new HashMap<>();
		models.forEach((m) -> counts.put(m.getName(), 0));
		List<String> names = models.stream().map(ModelConfiguration::getName).toList();
		for (int i = 0; i < runners; i++) {
			int given = i;
			String next = (given < names.size()) ? names.get(given)
					: names.stream()
						.max(Comparator.comparingDouble((n) -> demand.getOrDefault(n, 1.0) / (counts.get(n) + 1)))
						.orElseThrow();
			counts.merge(next, 1, Integer::sum);
		}
		return counts;
	}

	private static ModelConfiguration find(List<ModelConfiguration> models, String name) {
		return models.stream().filter((m) -> m.getName().equals(name)).findFirst().orElseThrow();
	}

}
