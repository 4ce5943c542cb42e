package org.wigeonglade.entry.online;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.member.FleetLoad;
import org.wigeonglade.core.member.FleetLoadSource;
import org.wigeonglade.core.route.Endpoint;
import org.wigeonglade.core.route.EndpointSelector;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.settings.Profile;

/**
 * Runners that one host may use for a service and model: those of its own failure domain,
 * and, past their capacity, those of a domain that reports spare places. Runs on one
 * event loop.
 */
final class RunnerPool {

	private static final EventLogger LOG = EventLogger.of(RunnerPool.class);

	/**
	 * Places that the other domain must have left. Keeps a domain near its limit from
	 * being filled from outside, so that two busy domains never trade requests.
	 */
	private static final int SPARE_KEPT = 2;

	private final RunnerTable runners;

	private final Ticker ticker;

	private final ServiceName service;

	private final String model;

	private final FailureDomain domain;

	private final Region region;

	private final FleetLoadSource load;

	private final Map<FailureDomain, Integer> taken = new HashMap<>();

	private FleetLoad seen = FleetLoad.EMPTY;

	private boolean mayLeaveDomain;

	private boolean mayLeaveRegion;

	RunnerPool(RunnerTable runners, Ticker ticker, ServiceName service, String model, FailureDomain domain,
			Region region, FleetLoadSource load) {
		this.runners = runners;
		this.ticker = ticker;
		this.service = service;
		this.model = model;
		this.domain = domain;
		this.region = region;
		this.load = load;
	}

	ServiceName getService() {
		return this.service;
	}

	void setPlacement(Profile.Placement placement) {
		this.mayLeaveDomain = placement != Profile.Placement.DOMAIN;
		this.mayLeaveRegion = placement == Profile.Placement.ANYWHERE;
	}

	List<RunnerState> getLocal() {
		return withModel(this.runners.getSubset(this.service, this.domain));
	}

	boolean isEmpty() {
		return getLocal().isEmpty() && findDomain().isEmpty();
	}

	// Returns the free places of the own domain.
	int getSpare() {
		long now = this.ticker.nanos();
		int sum = 0;
		for (RunnerState runner : getLocal()) {
			Endpoint endpoint = runner.toEndpoint(now);
			sum += endpoint.usable() ? Math.max(0, endpoint.limit() - endpoint.load()) : 0;
		}
		return sum;
	}

	boolean hasRoom() {
		return getSpare() > 0 || findDomain().isPresent();
	}

	// Chooses a runner of another domain and takes one of its reported places.
	Optional<RunnerState> spill(OnlineRequest request, Random random) {
		Optional<FailureDomain> target = findDomain();
		if (target.isEmpty()) {
			return Optional.empty();
		}
		List<RunnerState> candidates = withModel(this.runners.getSubset(this.service, target.orElseThrow()));
		long now = this.ticker.nanos();
		List<Endpoint> endpoints = new ArrayList<>(candidates.size());
		candidates.forEach((c) -> endpoints.add(c.toEndpoint(now)));
		Optional<RunnerState> chosen = EndpointSelector.choose(endpoints, "", random::nextInt)
			.map((endpoint) -> candidates.get(endpoints.indexOf(endpoint)));
		chosen.ifPresent((runner) -> {
			this.taken.merge(target.orElseThrow(), 1, Integer::sum);
			LOG.log(OnlineEvent.SPILLED, request.id(), runner.getMember().id());
		});
		return chosen;
	}

	private Optional<FailureDomain> findDomain() {
		if (!this.mayLeaveDomain) {
			return Optional.empty();
		}
		FleetLoad told = this.load.currentLoad();
		if (told != this.seen) {
			this.seen = told;
			this.taken.clear();
		}
		FailureDomain best = null;
		int most = SPARE_KEPT;
		for (FailureDomain other : this.runners.getDomains(this.service)) {
			int places = told.getService(other, this.service).spareSlots() - this.taken.getOrDefault(other, 0);
			if (!other.equals(this.domain) && places > most && isAllowed(other)) {
				best = other;
				most = places;
			}
		}
		return Optional.ofNullable(best);
	}

	private boolean isAllowed(FailureDomain other) {
		List<RunnerState> candidates = withModel(this.runners.getSubset(this.service, other));
		return !candidates.isEmpty()
				&& (this.mayLeaveRegion || candidates.get(0).getMember().region().equals(this.region));
	}

	private List<RunnerState> withModel(List<RunnerState> candidates) {
		for (RunnerState candidate : candidates) {
			if (!hasModel(candidate)) {
				return candidates.stream().filter(this::hasModel).toList();
			}
		}
		return candidates;
	}

	private boolean hasModel(RunnerState candidate) {
		List<String> models = candidate.getMember().models();
		return models.isEmpty() || models.contains(this.model);
	}

}
