package org.wigeonglade.entry.online;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.engine.ServiceCall;
import org.wigeonglade.core.engine.ServiceClient;
import org.wigeonglade.core.engine.ServiceReply;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.RefusedException;
import org.wigeonglade.core.error.UpstreamException;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.Fingerprint;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.member.FleetViewSource;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.core.retry.RetryBudget;
import org.wigeonglade.core.retry.Suspicion;
import org.wigeonglade.core.route.CircuitBreaker;
import org.wigeonglade.core.route.Endpoint;
import org.wigeonglade.core.route.EndpointSelector;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.settings.Profile;

/**
 * Forwards calls to plain services, that is, services whose instances are not runners. A
 * call that must not be repeated is sent again only if it is certain that no byte of it
 * was written. Runs on one event loop.
 */
public final class ServiceCalls {

	/** Largest number of calls in flight from one host to one instance. */
	private static final int MAX_IN_FLIGHT = 256;

	private final EventLoop loop;

	private final Ticker ticker;

	private final FleetViewSource fleet;

	private final UpstreamClientFactory clientFactory;

	private final FailureDomain domain;

	private final PoisonRequestGuard poisonGuard;

	private final Random random;

	private final Map<UpstreamId, Instance> instances = new HashMap<>();

	private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

	private final Set<Fingerprint> suspectsInFlight = new HashSet<>();

	private FleetView lastView = FleetView.EMPTY;

	ServiceCalls(OnlineRuntimeBuilder builder, PoisonRequestGuard poisonGuard) {
		this.loop = builder.getLoop();
		this.ticker = builder.getTicker();
		this.fleet = builder.getFleet();
		this.clientFactory = builder.getClients();
		this.domain = builder.getDomain();
		this.poisonGuard = poisonGuard;
		this.random = new Random(builder.getSeed());
	}

	/**
	 * Forwards a call to an instance. May be called from any thread.
	 * @param service the service, not null
	 * @param profile the profile in force when the call arrived, not null
	 * @param call the call with the time for all of its attempts, not null
	 * @param fingerprint the hash of the call, not null
	 * @return the complete reply; fails with
	 * {@link org.wigeonglade.core.error.WigeongladeException}
	 */
	public Uni<ServiceReply> call(ServiceName service, Profile profile, ServiceCall call, Fingerprint fingerprint) {
		CompletableFuture<ServiceReply> reply = new CompletableFuture<>();
		PendingCall pending = new PendingCall(service, profile, call, fingerprint,
				this.ticker.nanos() + call.timeout().toNanos(), new HashSet<>(), new ArrayList<>(), reply);
		this.loop.execute(() -> start(pending));
		return Uni.createFrom().completionStage(reply);
	}

	private void start(PendingCall pending) {
		Suspicion suspicion = this.poisonGuard.find(pending.fingerprint()).orElse(null);
		if (suspicion != null && suspicion.quarantined()) {
			pending.reply()
				.completeExceptionally(new RefusedException(ErrorCode.QUARANTINED,
						"the request is quarantined: " + suspicion.reason(), null));
			return;
		}
		if (suspicion != null && !this.suspectsInFlight.add(pending.fingerprint())) {
			pending.reply()
				.completeExceptionally(new RefusedException(ErrorCode.OVERLOADED,
						"an identical request that was in flight on a crashed instance is still being checked",
						Duration.ofSeconds(1)));
			return;
		}
		attempt(pending);
	}

	private void attempt(PendingCall pending) {
		Duration remaining = remaining(pending);
		if (remaining.isZero()) {
			releaseSuspect(pending);
			pending.reply()
				.completeExceptionally(
						new UpstreamException(ErrorCode.DEADLINE_EXCEEDED, pending.earlierExecutionState(), false,
								"the deadline passed before the call was complete", null));
			return;
		}
		Optional<Instance> chosen = choose(pending);
		if (chosen.isEmpty()) {
			releaseSuspect(pending);
			String message = "service " + pending.service() + " has no available instance";
			pending.reply()
				.completeExceptionally((pending.earlierExecutionState() == ExecutionState.NOT_RUN)
						? new RefusedException(ErrorCode.NO_UPSTREAM, message, Duration.ofSeconds(1))
						: new UpstreamException(ErrorCode.NO_UPSTREAM, pending.earlierExecutionState(), false,
								message + "; an earlier attempt was lost", null));
			return;
		}
		Instance instance = chosen.orElseThrow();
		instance.inFlight++;
		instance.breaker = instance.breaker.plusRequest();
		instance.client.call(pending.call().withTimeout(remaining))
			.subscribe()
			.with((reply) -> this.loop.execute(() -> onReply(pending, instance, reply)),
					(failure) -> this.loop.execute(() -> onFailure(pending, instance, failure)));
	}

	private void onReply(PendingCall pending, Instance instance, ServiceReply reply) {
		instance.inFlight--;
		instance.breaker = CircuitBreaker.CLOSED;
		this.budgets.compute(pending.service(), (s, b) -> budgetOrInitial(b)
			.plusSuccess(pending.profile().getRetryBudgetPercent(), this.ticker.nanos()));
		if (this.suspectsInFlight.remove(pending.fingerprint())) {
			this.poisonGuard.lift(pending.fingerprint());
		}
		pending.reply().complete(reply);
	}

	private void onFailure(PendingCall pending, Instance instance, Throwable cause) {
		UpstreamException failure = (cause instanceof UpstreamException upstream) ? upstream : new UpstreamException(
				ErrorCode.INTERNAL, ExecutionState.UNKNOWN, false, "unexpected failure of the service client", cause);
		instance.inFlight--;
		instance.breaker = instance.breaker.plusFailure(failure.isConnectionLost(), this.ticker.nanos());
		pending.failedOn().add(instance.member.id());
		pending.failures().add(failure);
		if (failure.isConnectionLost()) {
			this.poisonGuard.reportCrash(pending.fingerprint(),
					instance.member.id() + "@" + instance.member.incarnation());
			this.suspectsInFlight.add(pending.fingerprint());
		}
		Suspicion suspicion = this.poisonGuard.find(pending.fingerprint()).orElse(null);
		if (suspicion != null && suspicion.quarantined()) {
			releaseSuspect(pending);
			pending.reply()
				.completeExceptionally(new UpstreamException(ErrorCode.QUARANTINED, ExecutionState.RAN, false,
						"the request is quarantined: " + suspicion.reason(), failure));
			return;
		}
		boolean repeatable = pending.profile().getIdempotent() || failure.getExecutionState() == ExecutionState.NOT_RUN;
		if (repeatable && pending.failedOn().size() < pending.profile().getMaxAttempts() && !remaining(pending).isZero()
				&& tryAcquireRetry(pending.service())) {
			attempt(pending);
			return;
		}
		releaseSuspect(pending);
		pending.reply().completeExceptionally(failure.withEarlierAttempts(pending.earlierExecutionState()));
	}

	private Duration remaining(PendingCall pending) {
		return Duration.ofMillis(Math.max(0, (pending.deadlineNanos() - this.ticker.nanos()) / 1_000_000));
	}

	private void releaseSuspect(PendingCall pending) {
		this.suspectsInFlight.remove(pending.fingerprint());
	}

	private boolean tryAcquireRetry(ServiceName service) {
		RetryBudget budget = budgetOrInitial(this.budgets.get(service));
		if (!budget.allows(this.ticker.nanos())) {
			return false;
		}
		this.budgets.put(service, budget.plusRetry(this.ticker.nanos()));
		return true;
	}

	private RetryBudget budgetOrInitial(RetryBudget existing) {
		return (existing != null) ? existing : RetryBudget.initial(this.ticker.nanos());
	}

	private Optional<Instance> choose(PendingCall pending) {
		refreshInstances();
		List<Instance> usable = new ArrayList<>();
		for (Instance instance : this.instances.values()) {
			UpstreamMember member = instance.member;
			if (member.service().equals(pending.service()) && !member.leaving()
					&& !pending.failedOn().contains(member.id())) {
				usable.add(instance);
			}
		}
		List<Instance> local = usable.stream().filter((i) -> i.member.domain().equals(this.domain)).toList();
		Optional<Instance> chosen = choose(local);
		if (chosen.isPresent() || pending.profile().getPlacement() == Profile.Placement.DOMAIN) {
			return chosen;
		}
		return choose(usable);
	}

	private Optional<Instance> choose(List<Instance> candidates) {
		long now = this.ticker.nanos();
		List<Endpoint> endpoints = new ArrayList<>(candidates.size());
		for (Instance candidate : candidates) {
			endpoints.add(new Endpoint(candidate.member.id().value(), candidate.inFlight, MAX_IN_FLIGHT,
					candidate.breaker.allows(now)));
		}
		return EndpointSelector.choose(endpoints, "", this.random::nextInt)
			.map((endpoint) -> candidates.get(endpoints.indexOf(endpoint)));
	}

	private void refreshInstances() {
		FleetView view = this.fleet.current();
		if (view == this.lastView) {
			return;
		}
		Set<UpstreamId> present = new HashSet<>();
		for (UpstreamMember member : view.upstreams()) {
			if (!member.runner()) {
				present.add(member.id());
				Instance existing = this.instances.get(member.id());
				if (existing == null || existing.member.incarnation() != member.incarnation()) {
					this.instances.put(member.id(),
							new Instance(member, this.clientFactory.createServiceClient(member)));
				}
				else {
					existing.member = member;
				}
			}
		}
		this.instances.keySet().retainAll(present);
		this.lastView = view;
	}

	private static final class Instance {

		private final ServiceClient client;

		private UpstreamMember member;

		private CircuitBreaker breaker = CircuitBreaker.CLOSED;

		private int inFlight;

		private Instance(UpstreamMember member, ServiceClient client) {
			this.member = member;
			this.client = client;
		}

	}

	private record PendingCall(ServiceName service, Profile profile, ServiceCall call, Fingerprint fingerprint,
			long deadlineNanos, Set<UpstreamId> failedOn, List<UpstreamException> failures,
			CompletableFuture<ServiceReply> reply) {

		// Returns whether any of the failed attempts ran.
		ExecutionState earlierExecutionState() {
			return this.failures.stream()
				.map(UpstreamException::getExecutionState)
				.reduce(ExecutionState.NOT_RUN, ExecutionState::combine);
		}

	}

}
