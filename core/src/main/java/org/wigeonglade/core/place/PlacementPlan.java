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
 * Assignment of models to the runners of a placement key. Each model gets one runner
 * first, further ones follow demand, and a runner keeps its model where possible to avoid
 * loads.
 */
public final class PlacementPlan {

	private PlacementPlan() {
	}

	/**
	 * Plans the models of the runners.
	 * @param models the models of the service in the order of the configuration; with
	 * fewer runners than models the first ones are served
	 * @param runners the runners that are not leaving
	 * @param demand the demand by model name; a model without an entry has demand 1
	 * @param serving the name of the model that each runner serves now
	 * @return the assigned model of each runner
	 */
	public static Map<UpstreamId, ModelConfiguration> plan(List<ModelConfiguration> models, List<UpstreamId> runners,
			Map<String, Double> demand, Map<UpstreamId, String> serving) {
		Map<UpstreamId, ModelConfiguration> plan = new TreeMap<>();
		if (models.isEmpty() || runners.isEmpty()) {
			return plan;
		}
		Map<String, Integer> remaining = allocate(models, runners.size(), demand);
		List<UpstreamId> unassigned = new ArrayList<>();
		for (UpstreamId runner : runners.stream().sorted().toList()) {
			String current = serving.getOrDefault(runner, "");
			if (remaining.getOrDefault(current, 0) > 0) {
				remaining.merge(current, -1, Integer::sum);
				plan.put(runner, findModel(models, current));
			}
			else {
				unassigned.add(runner);
			}
		}
		for (UpstreamId runner : unassigned) {
			String next = models.stream()
				.map(ModelConfiguration::getName)
				.filter((m) -> remaining.get(m) > 0)
				.findFirst()
				.orElseThrow();
			remaining.merge(next, -1, Integer::sum);
			plan.put(runner, findModel(models, next));
		}
		return plan;
	}

	private static Map<String, Integer> allocate(List<ModelConfiguration> models, int runners,
			Map<String, Double> demand) {
		Map<String, Integer> counts = new HashMap<>();
		models.forEach((m) -> counts.put(m.getName(), 0));
		List<String> names = models.stream().map(ModelConfiguration::getName).toList();
		for (int i = 0; i < runners; i++) {
			int index = i;
			String next = (index < names.size()) ? names.get(index)
					: names.stream()
						.max(Comparator.comparingDouble((n) -> demand.getOrDefault(n, 1.0) / (counts.get(n) + 1)))
						.orElseThrow();
			counts.merge(next, 1, Integer::sum);
		}
		return counts;
	}

	private static ModelConfiguration findModel(List<ModelConfiguration> models, String name) {
		return models.stream().filter((m) -> m.getName().equals(name)).findFirst().orElseThrow();
	}

}
