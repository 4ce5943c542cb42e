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
 * Passes calls to the instances of plain services. A call that must not be repeated is
 * sent again only if certainly no byte of it was written. Runs on one event loop.
 */
public final class ServiceCalls {

	/** Calls in flight on one instance from one host. */
	private static final int LIMIT = 256;

	private final EventLoop loop;

	private final Ticker ticker;

	private final FleetViewSource fleet;

	private final UpstreamClients clients;

	private final FailureDomain domain;

	private final Suspects suspects;

	private final Random random;

	private final Map<UpstreamId, Instance> instances = new HashMap<>();

	private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

	private final Set<Fingerprint> suspectsInFlight = new HashSet<>();

	private FleetView seen = FleetView.EMPTY;

	ServiceCalls(OnlineRuntimeBuilder builder, Suspects suspects) {
		this.loop = builder.getLoop();
		this.ticker = builder.getTicker();
		this.fleet = builder.getFleet();
		this.clients = builder.getClients();
		this.domain = builder.getDomain();
		this.suspects = suspects;
		this.random = new Random(builder.getSeed());
	}

	/**
	 * Passes a call to an instance. May be called from any thread.
	 * @param service the service, not null
	 * @param profile the profile in force when the call arrived, not null
	 * @param call the call, not null
	 * @param fingerprint the hash of the call, not null
	 * @return the whole reply; fails with
	 * {@link org.wigeonglade.core.error.WigeongladeException}
	 */
	public Uni<ServiceReply> call(ServiceName service, Profile profile, ServiceCall call, Fingerprint fingerprint) {
		CompletableFuture<ServiceReply> reply = new CompletableFuture<>();
		Pending pending = new Pending(service, profile, call, fingerprint, new HashSet<>(), new ArrayList<>(), reply);
		this.loop.execute(() -> begin(pending));
		return Uni.createFrom().completionStage(reply);
	}

	private void begin(Pending pending) {
		Suspicion suspicion = this.suspects.find(pending.fingerprint()).orElse(null);
		if (suspicion != null && suspicion.quarantined()) {
			pending.reply()
				.completeExceptionally(new RefusedException(ErrorCode.QUARANTINED,
						"the request is quarantined: " + suspicion.reason(), null));
			return;
		}
		if (suspicion != null && !this.suspectsInFlight.add(pending.fingerprint())) {
			pending.reply()
				.completeExceptionally(new RefusedException(ErrorCode.OVERLOADED,
						"a copy of this request is being checked after it was in flight on an instance that was lost",
						Duration.ofSeconds(1)));
			return;
		}
		attempt(pending);
	}

	private void attempt(Pending pending) {
		Optional<Instance> chosen = choose(pending);
		if (chosen.isEmpty()) {
			end(pending);
			String message = "service " + pending.service() + " has no instance";
			pending.reply()
				.completeExceptionally((pending.earlier() == ExecutionState.NOT_RUN)
						? new RefusedException(ErrorCode.NO_UPSTREAM, message, Duration.ofSeconds(1))
						: new UpstreamException(ErrorCode.NO_UPSTREAM, pending.earlier(), false,
								message + " left; an earlier attempt was lost", null));
			return;
		}
		Instance instance = chosen.orElseThrow();
		instance.inFlight++;
		instance.breaker = instance.breaker.plusRequest();
		instance.client.call(pending.call())
			.subscribe()
			.with((reply) -> this.loop.execute(() -> answered(pending, instance, reply)),
					(failure) -> this.loop.execute(() -> failed(pending, instance, failure)));
	}

	private void answered(Pending pending, Instance instance, ServiceReply reply) {
		instance.inFlight--;
		instance.breaker = CircuitBreaker.CLOSED;
		this.budgets.compute(pending.service(),
				(s, b) -> budget(b).plusSuccess(pending.profile().getRetryBudgetPercent(), this.ticker.nanos()));
		if (this.suspectsInFlight.remove(pending.fingerprint())) {
			this.suspects.lift(pending.fingerprint());
		}
		pending.reply().complete(reply);
	}

	private void failed(Pending pending, Instance instance, Throwable cause) {
		UpstreamException failure = (cause instanceof UpstreamException known) ? known : new UpstreamException(
				ErrorCode.INTERNAL, ExecutionState.UNKNOWN, false, "unexpected failure of the service client", cause);
		instance.inFlight--;
		instance.breaker = instance.breaker.plusFailure(failure.isConnectionLost(), this.ticker.nanos());
		pending.failedOn().add(instance.member.id());
		pending.failures().add(failure);
		if (failure.isConnectionLost()) {
			this.suspects.report(pending.fingerprint(), instance.member.id() + "@" + instance.member.incarnation());
			this.suspectsInFlight.add(pending.fingerprint());
		}
		Suspicion suspicion = this.suspects.find(pending.fingerprint()).orElse(null);
		if (suspicion != null && suspicion.quarantined()) {
			end(pending);
			pending.reply()
				.completeExceptionally(new UpstreamException(ErrorCode.QUARANTINED, ExecutionState.RAN, false,
						"the request is quarantined: " + suspicion.reason(), failure));
			return;
		}
		boolean repeatable = pending.profile().getIdempotent() || failure.getExecutionState() == ExecutionState.NOT_RUN;
		if (repeatable && pending.failedOn().size() < pending.profile().getMaxAttempts()
				&& takeRetry(pending.service())) {
			attempt(pending);
			return;
		}
		end(pending);
		pending.reply().completeExceptionally(failure.withEarlierAttempts(pending.earlier()));
	}

	private void end(Pending pending) {
		this.suspectsInFlight.remove(pending.fingerprint());
	}

	private boolean takeRetry(ServiceName service) {
		RetryBudget budget = budget(this.budgets.get(service));
		if (!budget.allows(this.ticker.nanos())) {
			return false;
		}
		this.budgets.put(service, budget.plusRetry(this.ticker.nanos()));
		return true;
	}

	private RetryBudget budget(RetryBudget known) {
		return (known != null) ? known : RetryBudget.initial(this.ticker.nanos());
	}

	private Optional<Instance> choose(Pending pending) {
		refresh();
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
			endpoints.add(new Endpoint(candidate.member.id().value(), candidate.inFlight, LIMIT,
					candidate.breaker.allows(now)));
		}
		return EndpointSelector.choose(endpoints, "", this.random::nextInt)
			.map((endpoint) -> candidates.get(endpoints.indexOf(endpoint)));
	}

	private void refresh() {
		FleetView view = this.fleet.current();
		if (view == this.seen) {
			return;
		}
		Set<UpstreamId> present = new HashSet<>();
		for (UpstreamMember member : view.upstreams()) {
			if (!member.runner()) {
				present.add(member.id());
				Instance known = this.instances.get(member.id());
				if (known == null || known.member.incarnation() != member.incarnation()) {
					this.instances.put(member.id(), new Instance(member, this.clients.service(member)));
				}
				else {
					known.member = member;
				}
			}
		}
		this.instances.keySet().retainAll(present);
		this.seen = view;
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

	private record Pending(ServiceName service, Profile profile, ServiceCall call, Fingerprint fingerprint,
			Set<UpstreamId> failedOn, List<UpstreamException> failures, CompletableFuture<ServiceReply> reply) {

		// Returns whether one of the lost attempts ran.
		ExecutionState earlier() {
			return this.failures.stream()
				.map(UpstreamException::getExecutionState)
				.reduce(ExecutionState.NOT_RUN, ExecutionState::combine);
		}

	}

}
