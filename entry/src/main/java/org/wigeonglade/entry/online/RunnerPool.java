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
 * Runners that one host may use for a service and model: those of its own failure domain
 * and, beyond their capacity, those of another domain that reports spare slots. Runs on
 * one event loop.
 */
final class RunnerPool {

	private static final EventLogger LOG = EventLogger.of(RunnerPool.class);

	/**
	 * Spare slots that are left to the other domain. A domain near its limit gets no
	 * requests from outside, so that two busy domains never exchange requests.
	 */
	private static final int MIN_REMOTE_SPARE = 2;

	private final RunnerTable runners;

	private final Ticker ticker;

	private final ServiceName service;

	private final String model;

	private final FailureDomain domain;

	private final Region region;

	private final FleetLoadSource load;

	private final Map<FailureDomain, Integer> spilledOver = new HashMap<>();

	private FleetLoad lastLoad = FleetLoad.EMPTY;

	private boolean otherDomainsAllowed;

	private boolean otherRegionsAllowed;

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
		this.otherDomainsAllowed = placement != Profile.Placement.DOMAIN;
		this.otherRegionsAllowed = placement == Profile.Placement.ANYWHERE;
	}

	List<RunnerState> getLocalRunners() {
		return withModel(this.runners.getSubset(this.service, this.domain));
	}

	boolean isEmpty() {
		return getLocalRunners().isEmpty() && findSpilloverDomain().isEmpty();
	}

	// Returns the number of free slots in this host's domain.
	int getSpareSlots() {
		long now = this.ticker.nanos();
		int sum = 0;
		for (RunnerState runner : getLocalRunners()) {
			Endpoint endpoint = runner.toEndpoint(now);
			sum += endpoint.usable() ? Math.max(0, endpoint.limit() - endpoint.load()) : 0;
		}
		return sum;
	}

	boolean hasCapacity() {
		return getSpareSlots() > 0 || findSpilloverDomain().isPresent();
	}

	// Chooses a runner of another domain and counts the request against the spare
	// slots that the domain reported.
	Optional<RunnerState> spillOver(OnlineRequest request, Random random) {
		Optional<FailureDomain> target = findSpilloverDomain();
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
			this.spilledOver.merge(target.orElseThrow(), 1, Integer::sum);
			LOG.log(OnlineEvent.SPILLED, request.id(), runner.getMember().id());
		});
		return chosen;
	}

	private Optional<FailureDomain> findSpilloverDomain() {
		if (!this.otherDomainsAllowed) {
			return Optional.empty();
		}
		FleetLoad current = this.load.currentLoad();
		if (current != this.lastLoad) {
			this.lastLoad = current;
			this.spilledOver.clear();
		}
		FailureDomain best = null;
		int mostSpare = MIN_REMOTE_SPARE;
		for (FailureDomain other : this.runners.getDomains(this.service)) {
			int spare = current.getService(other, this.service).spareSlots() - this.spilledOver.getOrDefault(other, 0);
			if (!other.equals(this.domain) && spare > mostSpare && isAllowed(other)) {
				best = other;
				mostSpare = spare;
			}
		}
		return Optional.ofNullable(best);
	}

	private boolean isAllowed(FailureDomain other) {
		List<RunnerState> candidates = withModel(this.runners.getSubset(this.service, other));
		return !candidates.isEmpty()
				&& (this.otherRegionsAllowed || candidates.get(0).getMember().region().equals(this.region));
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
