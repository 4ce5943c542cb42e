package org.wigeonglade.bench.mixed;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import org.wigeonglade.core.route.Endpoint;
import org.wigeonglade.core.route.EndpointSelector;
import org.wigeonglade.entry.online.EndpointPolicy;

/**
 * Policies that the choice of runners is compared with.
 */
final class RoutingBaselines {

	/** Name of the policy of the system in reports. */
	static final String OURS = "ours";

	private RoutingBaselines() {
	}

	static Map<String, Supplier<EndpointPolicy>> all() {
		Map<String, Supplier<EndpointPolicy>> policies = new LinkedHashMap<>();
		policies.put("random", () -> (candidates, prefix, random) -> {
			List<Endpoint> open = open(candidates);
			return open.isEmpty() ? Optional.empty() : Optional.of(open.get(random.applyAsInt(open.size())));
		});
		policies.put("round_robin", RoutingBaselines::roundRobin);
		policies.put("least_in_flight", () -> (candidates, prefix, random) -> open(candidates).stream()
			.min(Comparator.comparingInt(Endpoint::load)));
		policies.put(OURS, () -> EndpointSelector::choose);
		return policies;
	}

	private static EndpointPolicy roundRobin() {
		AtomicInteger next = new AtomicInteger();
		return (candidates, prefix, random) -> {
			List<Endpoint> open = open(candidates);
			return open.isEmpty() ? Optional.empty()
					: Optional.of(open.get(Math.floorMod(next.getAndIncrement(), open.size())));
		};
	}

	private static List<Endpoint> open(List<Endpoint> candidates) {
		return candidates.stream().filter(Endpoint::hasCapacity).toList();
	}

}
