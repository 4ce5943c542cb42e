package org.wigeonglade.entry.online;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.wigeonglade.core.admit.FairQueue;
import org.wigeonglade.core.admit.WaitEstimate;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.RefusedException;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.core.retry.RetryBudget;
import org.wigeonglade.core.route.Endpoint;
import org.wigeonglade.core.route.EndpointSelector;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.settings.Profile;

/**
 * Admits the requests of one service and model: chooses a runner or queues the request
 * fairly between workspaces. Runs on one event loop.
 */
final class ServiceAdmission {

	/** Largest number of requests that wait. */
	private static final int QUEUE_CAPACITY = 2000;

	/**
	 * Part of the places that only workspaces below their share may take, so that a
	 * workspace far above its share does not make the others wait for a place.
	 */
	private static final double RESERVED_PART = 0.1;

	/** Time for which a workspace counts as active after its last request. */
	private static final long ACTIVE_MILLIS = 10_000;

	/** Tokens that a prompt character counts for. */
	private static final double TOKENS_PER_CHAR = 0.25;

	private final RunnerPool pool;

	private final Ticker ticker;

	private final Random random;

	private final EndpointPolicy policy;

	private final FairQueue<OnlineStream> queue = new FairQueue<>(QUEUE_CAPACITY);

	private final Map<WorkspaceId, Usage> usage = new HashMap<>();

	private WaitEstimate wait;

	private RetryBudget retries;

	private int inFlight;

	ServiceAdmission(RunnerPool pool, Ticker ticker, Random random, EndpointPolicy policy) {
		this.pool = pool;
		this.ticker = ticker;
		this.random = random;
		this.policy = policy;
		this.wait = WaitEstimate.initial(ticker.nanos());
		this.retries = RetryBudget.initial(ticker.nanos());
	}

	int getQueued() {
		return this.queue.getSize();
	}

	RunnerPool getPool() {
		return this.pool;
	}

	// Starts or queues a request; a retry does not wait behind new requests.
	void submit(OnlineStream stream, boolean retry) {
		OnlineRequest request = stream.getRequest();
		Usage used = touch(request);
		if (this.pool.isEmpty()) {
			stream.refused(new RefusedException(ErrorCode.NO_UPSTREAM,
					"service " + request.service() + " has no runner for this model", Duration.ofSeconds(1)));
			return;
		}
		if ((retry || this.queue.getSize() == 0) && mayServe(request.workspace())) {
			Optional<RunnerState> runner = choose(stream);
			if (runner.isPresent()) {
				this.queue.charge(request.workspace(), request.weight(), cost(request));
				start(stream, runner.orElseThrow(), used);
				return;
			}
		}
		enqueue(stream);
		pump();
	}

	// Takes back the place of a request that runs no more.
	void ended(OnlineStream stream) {
		this.inFlight--;
		Usage used = this.usage.get(stream.getRequest().workspace());
		if (used != null) {
			used.inFlight--;
		}
		this.wait = this.wait.plusDeparture(this.ticker.nanos());
		pump();
	}

	void withdraw(OnlineStream stream) {
		this.queue.remove(stream.getRequest().workspace(), stream);
	}

	void succeeded(Profile profile) {
		this.retries = this.retries.plusSuccess(profile.getRetryBudgetPercent(), this.ticker.nanos());
	}

	boolean takeRetry() {
		long now = this.ticker.nanos();
		if (!this.retries.allows(now)) {
			return false;
		}
		this.retries = this.retries.plusRetry(now);
		return true;
	}

	// Starts waiting requests while there are places.
	void pump() {
		while (this.queue.getSize() > 0) {
			if (!this.pool.hasRoom()) {
				return;
			}
			Optional<OnlineStream> next = this.queue.poll(this::mayServe);
			if (next.isEmpty()) {
				return;
			}
			OnlineStream stream = next.orElseThrow();
			Optional<RunnerState> runner = choose(stream);
			if (runner.isEmpty()) {
				enqueue(stream);
				return;
			}
			start(stream, runner.orElseThrow(), touch(stream.getRequest()));
		}
	}

	private void start(OnlineStream stream, RunnerState runner, Usage used) {
		this.inFlight++;
		used.inFlight++;
		stream.start(runner);
	}

	private void enqueue(OnlineStream stream) {
		OnlineRequest request = stream.getRequest();
		Profile profile = request.profile();
		Duration expected = this.wait.estimate(this.queue.getSize(request.workspace()), request.weight(),
				this.queue.getQueuedWeight() + ((this.queue.getSize(request.workspace()) == 0) ? request.weight() : 0));
		long limit = Math.min(profile.getMaxQueueMs(), stream.getRemainingMillis());
		if (profile.getOnOverload() == Profile.OnOverload.REFUSE || expected.toMillis() > limit) {
			stream.refused(overloaded(request, expected));
			return;
		}
		this.queue.offer(request.workspace(), request.weight(), cost(request), request.deadlineNanos(), stream)
			.ifPresent((evicted) -> evicted.refused(overloaded(evicted.getRequest(), expected)));
		if (!stream.isDone()) {
			stream.queued(limit);
		}
	}

	RefusedException overloaded(OnlineRequest request, Duration expected) {
		Duration retryAfter = (expected.compareTo(Duration.ofSeconds(1)) > 0) ? expected : Duration.ofSeconds(1);
		return new RefusedException(ErrorCode.OVERLOADED, "service " + request.service()
				+ " is at its limit and the expected wait passes what the profile allows", retryAfter);
	}

	private boolean mayServe(WorkspaceId workspace) {
		int spare = this.pool.getSpare();
		if (spare <= 0) {
			return this.pool.hasRoom();
		}
		int capacity = this.inFlight + spare;
		int weights = activeWeight();
		Usage used = this.usage.get(workspace);
		if (used == null || used.weight >= weights) {
			return true;
		}
		if ((used.inFlight + 1) * (double) weights <= (double) capacity * used.weight) {
			return true;
		}
		return spare > Math.max(1, capacity * RESERVED_PART);
	}

	private int activeWeight() {
		long now = this.ticker.millis();
		this.usage.values().removeIf((u) -> u.inFlight == 0 && now - u.lastMillis > ACTIVE_MILLIS);
		int sum = 0;
		for (Usage used : this.usage.values()) {
			sum += used.weight;
		}
		return sum;
	}

	private Usage touch(OnlineRequest request) {
		Usage used = this.usage.computeIfAbsent(request.workspace(), (w) -> new Usage());
		used.weight = request.weight();
		used.lastMillis = this.ticker.millis();
		return used;
	}

	private Optional<RunnerState> choose(OnlineStream stream) {
		String prefix = EndpointSelector.affinityKey(stream.getRequest().prompt());
		List<RunnerState> local = this.pool.getLocal();
		long now = this.ticker.nanos();
		Optional<RunnerState> chosen = choose(without(local, stream), prefix, now);
		if (chosen.isEmpty()) {
			chosen = choose(local, prefix, now);
		}
		return chosen.isPresent() ? chosen : this.pool.spill(stream.getRequest(), this.random);
	}

	private Optional<RunnerState> choose(List<RunnerState> candidates, String prefix, long now) {
		List<Endpoint> endpoints = new ArrayList<>(candidates.size());
		for (RunnerState candidate : candidates) {
			endpoints.add(candidate.toEndpoint(now));
		}
		return this.policy.choose(endpoints, prefix, this.random::nextInt)
			.map((endpoint) -> candidates.get(endpoints.indexOf(endpoint)));
	}

	private static List<RunnerState> without(List<RunnerState> candidates, OnlineStream stream) {
		return stream.getFailedOn().isEmpty() ? candidates
				: candidates.stream().filter((c) -> !stream.getFailedOn().contains(c.getMember().id())).toList();
	}

	private static double cost(OnlineRequest request) {
		return 1 + request.prompt().length() * TOKENS_PER_CHAR + request.maxTokens();
	}

	private static final class Usage {

		private int weight = 1;

		private int inFlight;

		private long lastMillis;

	}

}
