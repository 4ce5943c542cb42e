package org.wigeonglade.entry.control;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.engine.EngineCommand;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.member.Rendezvous;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.core.place.PlacementCommands;
import org.wigeonglade.core.place.PlacementKey;
import org.wigeonglade.core.place.PlacementLeaseTiming;
import org.wigeonglade.core.place.PlacementPlan;
import org.wigeonglade.core.place.PlacementTerm;
import org.wigeonglade.core.place.RunnerObservation;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.log.PlacementClaim;
import org.wigeonglade.schema.generated.log.PlacementRelease;
import org.wigeonglade.schema.generated.log.PlacementState;
import org.wigeonglade.schema.generated.log.RunnerAssignment;
import org.wigeonglade.schema.generated.settings.BudgetConfiguration;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.ModelConfiguration;
import org.wigeonglade.schema.generated.settings.ServiceConfiguration;

/**
 * Holds placements of the services in the failure domain of this host and gives commands
 * to their runners. Runs on the control loop.
 */
final class PlacementRuntime {

	private static final EventLogger logger = EventLogger.of(PlacementRuntime.class);

	/** Runners are asked this often; a load takes many seconds. */
	private static final long OBSERVE_MILLIS = 2000;

	private final ControlContext context;

	private final MemberRuntime members;

	private final ConfigurationRuntime configuration;

	private final ControlStream stream;

	private final PlacementTargets targets;

	private final PlacementLeaseTiming leaseTiming;

	private final Map<PlacementKey, PlacementHolding> holdings = new TreeMap<>(
			Comparator.comparing(PlacementKey::toString));

	private boolean stopping;

	private long nextObserve;

	PlacementRuntime(ControlContext context, MemberRuntime members, ConfigurationRuntime configuration,
			ControlStream stream, PlacementTargets targets, PlacementLeaseTiming leaseTiming) {
		this.context = context;
		this.members = members;
		this.configuration = configuration;
		this.stream = stream;
		this.targets = targets;
		this.leaseTiming = leaseTiming;
	}

	void tick() {
		long now = this.context.now();
		if (!this.configuration.isReady() || !this.stream.isHeadReached()) {
			return;
		}
		FleetConfiguration body = this.configuration.getCurrent().body();
		boolean observe = now >= this.nextObserve;
		this.nextObserve = (observe) ? now + OBSERVE_MILLIS : this.nextObserve;
		for (ServiceConfiguration service : body.getServices()) {
			if (service.getKind() == ServiceConfiguration.Kind.MODEL && service.getModels() != null
					&& !service.getModels().isEmpty()) {
				tick(service, body, now, observe);
			}
		}
	}

	// Gives all placements up, so that others need not wait for the lease.
	void release() {
		this.stopping = true;
		this.holdings.values().stream().filter(this::isHolder).forEach((h) -> {
			LogEntry entry = LogEntry.newBuilder()
				.setPlacementRelease(PlacementRelease.newBuilder()
					.setService(h.getKey().service().value())
					.setFailureDomain(h.getKey().domain().value())
					.setTerm(h.getTerm().term()))
				.build();
			append(h, entry, (started) -> {
			});
		});
	}

	private void tick(ServiceConfiguration service, FleetConfiguration body, long now, boolean observe) {
		PlacementKey key = new PlacementKey(ServiceName.of(service.getName()), this.context.identity().domain());
		PlacementHolding holding = this.holdings.computeIfAbsent(key, (k) -> new PlacementHolding(k, now));
		applyTerm(holding, now);
		List<UpstreamMember> runners = getRunners(key);
		if (!isHolder(holding)) {
			claimIfDue(holding, service, now);
			return;
		}
		if (observe) {
			runners.forEach((runner) -> observe(holding, runner));
		}
		Map<UpstreamId, ModelConfiguration> wanted = PlacementPlan.plan(service.getModels(),
				runners.stream().map(UpstreamMember::id).toList(), Map.of(),
				holding.getObserved()
					.entrySet()
					.stream()
					.collect(Collectors.toMap(Map.Entry::getKey, (e) -> e.getValue().model())));
		renewIfDue(holding, wanted, now);
		// The end state is durable before the first command follows from it.
		boolean written = holding.getWritten().equals(PlacementHolding.toAssignments(wanted));
		if (!this.stopping && written && mayCommand(holding)) {
			giveCommands(holding, service, body, wanted, runners, now);
		}
	}

	private void applyTerm(PlacementHolding holding, long now) {
		PlacementTerm before = holding.getTerm();
		boolean held = isHolder(holding);
		holding.apply(this.stream.getPlacement().get(holding.getKey()), now);
		if (held && !isHolder(holding)) {
			logger.log(ControlEvent.PLACEMENT_LOST, holding.getKey().service(), holding.getKey().domain(),
					before.term(), holding.getTerm().host());
		}
	}

	private void claimIfDue(PlacementHolding holding, ServiceConfiguration service, long now) {
		HostId self = this.context.identity().host();
		boolean first = Rendezvous
			.first("placement-" + holding.getKey(), this.members.getView().getHostsOf(holding.getKey().domain()),
					(h) -> h.id().value())
			.map(HostMember::id)
			.filter(self::equals)
			.isPresent();
		PlacementTerm term = holding.getTerm();
		boolean free = this.leaseTiming.mayClaim(now, holding.getSeenMillis(), term.released(),
				service.getEnginesCheckTerm());
		if (!first || !free || holding.isAppending() || this.stopping) {
			return;
		}
		long next = Math.max(term.term(), holding.getHighestEngineTerm()) + 1;
		LogEntry entry = LogEntry.newBuilder()
			.setPlacementClaim(PlacementClaim.newBuilder()
				.setService(holding.getKey().service().value())
				.setFailureDomain(holding.getKey().domain().value())
				.setTerm(next)
				.setHost(self.value())
				.setIncarnation(this.context.identity().incarnation()))
			.build();
		append(holding, entry, (started) -> logger.log(ControlEvent.PLACEMENT_CLAIMED, holding.getKey().service(),
				holding.getKey().domain(), next));
	}

	private void renewIfDue(PlacementHolding holding, Map<UpstreamId, ModelConfiguration> wanted, long now) {
		List<RunnerAssignment> assignments = PlacementHolding.toAssignments(wanted);
		boolean due = !holding.isProven() || this.leaseTiming.mustRenew(now, holding.getProvenMillis())
				|| !assignments.equals(holding.getWritten());
		if (!due || holding.isAppending() || this.stopping) {
			return;
		}
		long term = holding.getTerm().term();
		LogEntry entry = LogEntry.newBuilder()
			.setPlacementState(PlacementState.newBuilder()
				.setService(holding.getKey().service().value())
				.setFailureDomain(holding.getKey().domain().value())
				.setTerm(term)
				.addAllAssignments(assignments))
			.build();
		append(holding, entry, (started) -> {
			// Only a record that the replay accepted proves that the term is still ours.
			if (isHolder(holding) && this.stream.getPlacement().get(holding.getKey()).term() == term) {
				holding.prove(started, assignments);
			}
		});
	}

	private void append(PlacementHolding holding, LogEntry entry, Consumer<Long> onRead) {
		long started = this.context.now();
		holding.setAppending(true);
		LogRecord record = this.stream.next(List.of(entry));
		this.stream.append(record)
			.onItem()
			.transformToUni((offset) -> this.stream.readToHead())
			.subscribe()
			.with((done) -> {
				holding.setAppending(false);
				applyTerm(holding, this.context.now());
				onRead.accept(started);
			}, (failure) -> holding.setAppending(false));
	}

	private void giveCommands(PlacementHolding holding, ServiceConfiguration service, FleetConfiguration body,
			Map<UpstreamId, ModelConfiguration> wanted, List<UpstreamMember> runners, long now) {
		BudgetConfiguration budgets = (body.getBudgets() != null) ? body.getBudgets() : new BudgetConfiguration();
		int permits = holding.getPacer().getPermits(now, budgets.getWeightLoadsPerMinute(), countHolders(body));
		long term = holding.getTerm().term();
		PlacementCommands commands = PlacementCommands.next(term, wanted, holding.getObserved(),
				service.getFloorPerDomain(), permits);
		holding.getPacer().take(commands.loads().size());
		if (commands.blocked() && !holding.isBlocked()) {
			logger.log(ControlEvent.PLACEMENT_BLOCKED, holding.getKey().service(), holding.getKey().domain(),
					commands.ready(), service.getFloorPerDomain());
		}
		holding.setBlocked(commands.blocked());
		Map<UpstreamId, UpstreamMember> byId = runners.stream().collect(Collectors.toMap(UpstreamMember::id, (r) -> r));
		commands.confirms().forEach((id) -> command(holding, byId.get(id), wanted.get(id), false));
		commands.loads().forEach((id) -> command(holding, byId.get(id), wanted.get(id), true));
	}

	private void command(PlacementHolding holding, UpstreamMember runner, ModelConfiguration model, boolean load) {
		long term = holding.getTerm().term();
		EngineCommand command = new EngineCommand(term, model.getName(), model.getVersion(),
				(model.getAdapters() != null) ? model.getAdapters() : List.of(), "serve");
		// Until the next answer the runner counts as not ready, or as told of the term.
		holding.observe(runner.id(), new RunnerObservation(model.getName(), model.getVersion(), load, term));
		logger.log(ControlEvent.COMMAND_SENT, runner.id(), term, model.getName(), model.getVersion());
		this.context.record(AccountCode.COMMAND_SENT, "upstream", runner.id().value(),
				Map.of("term", String.valueOf(term), "model", model.getName(), "version", model.getVersion()));
		this.context
			.onLoop(Uni.createFrom()
				.deferred(() -> (mayCommand(holding) && holding.getTerm().term() == term)
						? this.targets.command(runner, command) : Uni.createFrom().voidItem()))
			.subscribe()
			.with((done) -> {
			}, (failure) -> {
				holding.observe(runner.id(), null);
				logger.log(ControlEvent.COMMAND_FAILED, runner.id(), term, failure.getMessage());
			});
	}

	private void observe(PlacementHolding holding, UpstreamMember runner) {
		this.context.onLoop(this.targets.observe(runner))
			.subscribe()
			.with((observation) -> holding.observe(runner.id(), observation),
					(failure) -> holding.observe(runner.id(), null));
	}

	private boolean mayCommand(PlacementHolding holding) {
		return isHolder(holding) && holding.isProven()
				&& this.leaseTiming.mayCommand(this.context.now(), holding.getProvenMillis());
	}

	private boolean isHolder(PlacementHolding holding) {
		return holding.getTerm()
			.isHeldBy(this.context.identity().host().value(), this.context.identity().incarnation());
	}

	private List<UpstreamMember> getRunners(PlacementKey key) {
		return this.members.getView()
			.getUsable(key.service())
			.stream()
			.filter((u) -> u.runner() && u.domain().equals(key.domain()))
			.toList();
	}

	private int countHolders(FleetConfiguration body) {
		long services = body.getServices()
			.stream()
			.filter((s) -> s.getKind() == ServiceConfiguration.Kind.MODEL)
			.count();
		long domains = this.members.getView().upstreams().stream().map(UpstreamMember::domain).distinct().count();
		return (int) Math.max(1, services * domains);
	}

}
