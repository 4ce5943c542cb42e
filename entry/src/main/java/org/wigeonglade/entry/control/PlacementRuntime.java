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
 * Claims the placements of model services in the failure domain of this host, renews
 * their leases and commands the runners to load models. Runs on the control loop.
 */
final class PlacementRuntime {

	private static final EventLogger logger = EventLogger.of(PlacementRuntime.class);

	/** Interval at which the holder queries runners; a model load takes many seconds. */
	private static final long OBSERVE_INTERVAL_MILLIS = 2000;

	private final ControlContext context;

	private final MemberRuntime members;

	private final ConfigurationRuntime configuration;

	private final ControlStream stream;

	private final PlacementRunnerClient runnerClient;

	private final PlacementLeaseTiming leaseTiming;

	private final Map<PlacementKey, PlacementTracker> trackers = new TreeMap<>(
			Comparator.comparing(PlacementKey::toString));

	private boolean stopping;

	private long nextObserve;

	PlacementRuntime(ControlContext context, MemberRuntime members, ConfigurationRuntime configuration,
			ControlStream stream, PlacementRunnerClient runnerClient, PlacementLeaseTiming leaseTiming) {
		this.context = context;
		this.members = members;
		this.configuration = configuration;
		this.stream = stream;
		this.runnerClient = runnerClient;
		this.leaseTiming = leaseTiming;
	}

	void tick() {
		long now = this.context.now();
		if (!this.configuration.isReady() || !this.stream.isHeadReached()) {
			return;
		}
		FleetConfiguration body = this.configuration.getCurrent().body();
		boolean observe = now >= this.nextObserve;
		this.nextObserve = (observe) ? now + OBSERVE_INTERVAL_MILLIS : this.nextObserve;
		for (ServiceConfiguration service : body.getServices()) {
			if (service.getKind() == ServiceConfiguration.Kind.MODEL && service.getModels() != null
					&& !service.getModels().isEmpty()) {
				tick(service, body, now, observe);
			}
		}
	}

	// Releases all placements, so that other hosts need not wait for their expiry.
	void release() {
		this.stopping = true;
		this.trackers.values().stream().filter(this::isHolder).forEach((h) -> {
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
		PlacementTracker tracker = this.trackers.computeIfAbsent(key, (k) -> new PlacementTracker(k, now));
		applyTerm(tracker, now);
		List<UpstreamMember> runners = getRunners(key);
		if (!isHolder(tracker)) {
			claimIfDue(tracker, service, now);
			return;
		}
		if (observe) {
			runners.forEach((runner) -> observe(tracker, runner));
		}
		Map<UpstreamId, ModelConfiguration> desired = PlacementPlan.plan(service.getModels(),
				runners.stream().map(UpstreamMember::id).toList(), Map.of(),
				tracker.getObservations()
					.entrySet()
					.stream()
					.collect(Collectors.toMap(Map.Entry::getKey, (e) -> e.getValue().model())));
		renewIfDue(tracker, desired, now);
		// Commands follow only from assignments that are durable in the log.
		boolean durable = tracker.getDurableAssignments().equals(PlacementTracker.toAssignments(desired));
		if (!this.stopping && durable && mayCommand(tracker)) {
			sendCommands(tracker, service, body, desired, runners, now);
		}
	}

	private void applyTerm(PlacementTracker tracker, long now) {
		PlacementTerm before = tracker.getTerm();
		boolean held = isHolder(tracker);
		tracker.apply(this.stream.getPlacementReplay().get(tracker.getKey()), now);
		if (held && !isHolder(tracker)) {
			logger.log(ControlEvent.PLACEMENT_LOST, tracker.getKey().service(), tracker.getKey().domain(),
					before.term(), tracker.getTerm().host());
		}
	}

	private void claimIfDue(PlacementTracker tracker, ServiceConfiguration service, long now) {
		HostId self = this.context.identity().host();
		boolean firstRanked = Rendezvous
			.first("placement-" + tracker.getKey(), this.members.getView().getHostsOf(tracker.getKey().domain()),
					(h) -> h.id().value())
			.map(HostMember::id)
			.filter(self::equals)
			.isPresent();
		PlacementTerm term = tracker.getTerm();
		boolean claimable = this.leaseTiming.mayClaim(now, tracker.getRecordReadMillis(), term.released(),
				service.getEnginesCheckTerm());
		if (!firstRanked || !claimable || tracker.isAppending() || this.stopping) {
			return;
		}
		long nextTerm = Math.max(term.term(), tracker.getHighestEngineTerm()) + 1;
		LogEntry entry = LogEntry.newBuilder()
			.setPlacementClaim(PlacementClaim.newBuilder()
				.setService(tracker.getKey().service().value())
				.setFailureDomain(tracker.getKey().domain().value())
				.setTerm(nextTerm)
				.setHost(self.value())
				.setIncarnation(this.context.identity().incarnation()))
			.build();
		append(tracker, entry, (started) -> logger.log(ControlEvent.PLACEMENT_CLAIMED, tracker.getKey().service(),
				tracker.getKey().domain(), nextTerm));
	}

	private void renewIfDue(PlacementTracker tracker, Map<UpstreamId, ModelConfiguration> desired, long now) {
		List<RunnerAssignment> assignments = PlacementTracker.toAssignments(desired);
		boolean due = !tracker.isLeaseConfirmed() || this.leaseTiming.mustRenew(now, tracker.getLeaseStartMillis())
				|| !assignments.equals(tracker.getDurableAssignments());
		if (!due || tracker.isAppending() || this.stopping) {
			return;
		}
		long term = tracker.getTerm().term();
		LogEntry entry = LogEntry.newBuilder()
			.setPlacementState(PlacementState.newBuilder()
				.setService(tracker.getKey().service().value())
				.setFailureDomain(tracker.getKey().domain().value())
				.setTerm(term)
				.addAllAssignments(assignments))
			.build();
		append(tracker, entry, (started) -> {
			// The lease is confirmed only if this host still holds the term in the log.
			if (isHolder(tracker) && this.stream.getPlacementReplay().get(tracker.getKey()).term() == term) {
				tracker.confirmLease(started, assignments);
			}
		});
	}

	private void append(PlacementTracker tracker, LogEntry entry, Consumer<Long> onRead) {
		long started = this.context.now();
		tracker.setAppending(true);
		LogRecord record = this.stream.newRecord(List.of(entry));
		this.stream.append(record)
			.onItem()
			.transformToUni((offset) -> this.stream.readToHead())
			.subscribe()
			.with((done) -> {
				tracker.setAppending(false);
				applyTerm(tracker, this.context.now());
				onRead.accept(started);
			}, (failure) -> tracker.setAppending(false));
	}

	private void sendCommands(PlacementTracker tracker, ServiceConfiguration service, FleetConfiguration body,
			Map<UpstreamId, ModelConfiguration> desired, List<UpstreamMember> runners, long now) {
		BudgetConfiguration budgets = (body.getBudgets() != null) ? body.getBudgets() : new BudgetConfiguration();
		int permits = tracker.getPacer().getPermits(now, budgets.getWeightLoadsPerMinute(), countPlacements(body));
		long term = tracker.getTerm().term();
		PlacementCommands commands = PlacementCommands.next(term, desired, tracker.getObservations(),
				service.getFloorPerDomain(), permits);
		tracker.getPacer().take(commands.loads().size());
		if (commands.blocked() && !tracker.isBlocked()) {
			logger.log(ControlEvent.PLACEMENT_BLOCKED, tracker.getKey().service(), tracker.getKey().domain(),
					commands.ready(), service.getFloorPerDomain());
		}
		tracker.setBlocked(commands.blocked());
		Map<UpstreamId, UpstreamMember> byId = runners.stream().collect(Collectors.toMap(UpstreamMember::id, (r) -> r));
		commands.confirms().forEach((id) -> sendCommand(tracker, byId.get(id), desired.get(id), false));
		commands.loads().forEach((id) -> sendCommand(tracker, byId.get(id), desired.get(id), true));
	}

	private void sendCommand(PlacementTracker tracker, UpstreamMember runner, ModelConfiguration model, boolean load) {
		long term = tracker.getTerm().term();
		EngineCommand command = new EngineCommand(term, model.getName(), model.getVersion(),
				(model.getAdapters() != null) ? model.getAdapters() : List.of(), "serve");
		// Assumed until the next observation: a runner that loads is not ready, and the
		// runner has received the term.
		tracker.observe(runner.id(), new RunnerObservation(model.getName(), model.getVersion(), load, term));
		logger.log(ControlEvent.COMMAND_SENT, runner.id(), term, model.getName(), model.getVersion());
		this.context.record(AccountCode.COMMAND_SENT, "upstream", runner.id().value(),
				Map.of("term", String.valueOf(term), "model", model.getName(), "version", model.getVersion()));
		this.context
			.onLoop(Uni.createFrom()
				.deferred(() -> (mayCommand(tracker) && tracker.getTerm().term() == term)
						? this.runnerClient.command(runner, command) : Uni.createFrom().voidItem()))
			.subscribe()
			.with((done) -> {
			}, (failure) -> {
				tracker.observe(runner.id(), null);
				logger.log(ControlEvent.COMMAND_FAILED, runner.id(), term, failure.getMessage());
			});
	}

	private void observe(PlacementTracker tracker, UpstreamMember runner) {
		this.context.onLoop(this.runnerClient.observe(runner))
			.subscribe()
			.with((observation) -> tracker.observe(runner.id(), observation),
					(failure) -> tracker.observe(runner.id(), null));
	}

	private boolean mayCommand(PlacementTracker tracker) {
		return isHolder(tracker) && tracker.isLeaseConfirmed()
				&& this.leaseTiming.mayCommand(this.context.now(), tracker.getLeaseStartMillis());
	}

	private boolean isHolder(PlacementTracker tracker) {
		return tracker.getTerm()
			.isHeldBy(this.context.identity().host().value(), this.context.identity().incarnation());
	}

	private List<UpstreamMember> getRunners(PlacementKey key) {
		return this.members.getView()
			.getUsable(key.service())
			.stream()
			.filter((u) -> u.runner() && u.domain().equals(key.domain()))
			.toList();
	}

	private int countPlacements(FleetConfiguration body) {
		long services = body.getServices()
			.stream()
			.filter((s) -> s.getKind() == ServiceConfiguration.Kind.MODEL)
			.count();
		long domains = this.members.getView().upstreams().stream().map(UpstreamMember::domain).distinct().count();
		return (int) Math.max(1, services * domains);
	}

}
