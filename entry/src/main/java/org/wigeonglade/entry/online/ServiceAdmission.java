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
 * Admits the requests of one service and model: chooses a runner, or queues the request
 * with fair queuing between workspaces. Runs on one event loop.
 */
final class ServiceAdmission {

	/** Largest number of queued requests. */
	private static final int QUEUE_CAPACITY = 2000;

	/**
	 * Fraction of the slots that only workspaces below their share may use, so that a
	 * workspace far above its share does not make the others wait for a slot.
	 */
	private static final double RESERVED_FRACTION = 0.1;

	/** Time for which a workspace counts as active after its last request. */
	private static final long WORKSPACE_ACTIVE_MILLIS = 10_000;

	/** Estimated number of tokens for each character of a prompt. */
	private static final double TOKENS_PER_CHAR = 0.25;

	private final RunnerPool pool;

	private final Ticker ticker;

	private final Random random;

	private final EndpointPolicy policy;

	private final FairQueue<OnlineStream> queue = new FairQueue<>(QUEUE_CAPACITY);

	private final Map<WorkspaceId, Usage> usages = new HashMap<>();

	private WaitEstimate waitEstimate;

	private RetryBudget retryBudget;

	private int inFlight;

	ServiceAdmission(RunnerPool pool, Ticker ticker, Random random, EndpointPolicy policy) {
		this.pool = pool;
		this.ticker = ticker;
		this.random = random;
		this.policy = policy;
		this.waitEstimate = WaitEstimate.initial(ticker.nanos());
		this.retryBudget = RetryBudget.initial(ticker.nanos());
	}

	int getQueued() {
		return this.queue.getSize();
	}

	RunnerPool getPool() {
		return this.pool;
	}

	// Starts or queues a request. A retry may start ahead of queued requests.
	void submit(OnlineStream stream, boolean retry) {
		OnlineRequest request = stream.getRequest();
		Usage usage = recordActivity(request);
		if (this.pool.isEmpty()) {
			stream.onRefused(new RefusedException(ErrorCode.NO_UPSTREAM,
					"service " + request.service() + " has no runner for this model", Duration.ofSeconds(1)));
			return;
		}
		if ((retry || this.queue.getSize() == 0) && mayStart(request.workspace())) {
			Optional<RunnerState> runner = choose(stream);
			if (runner.isPresent()) {
				this.queue.charge(request.workspace(), request.weight(), cost(request));
				start(stream, runner.orElseThrow(), usage);
				return;
			}
		}
		enqueue(stream);
		startQueued();
	}

	// Releases the slot of a request that is no longer running.
	void release(OnlineStream stream) {
		this.inFlight--;
		Usage usage = this.usages.get(stream.getRequest().workspace());
		if (usage != null) {
			usage.inFlight--;
		}
		this.waitEstimate = this.waitEstimate.plusDeparture(this.ticker.nanos());
		startQueued();
	}

	void removeQueued(OnlineStream stream) {
		this.queue.remove(stream.getRequest().workspace(), stream);
	}

	void succeeded(Profile profile) {
		this.retryBudget = this.retryBudget.plusSuccess(profile.getRetryBudgetPercent(), this.ticker.nanos());
	}

	boolean tryAcquireRetry() {
		long now = this.ticker.nanos();
		if (!this.retryBudget.allows(now)) {
			return false;
		}
		this.retryBudget = this.retryBudget.plusRetry(now);
		return true;
	}

	// Starts queued requests while there is capacity.
	void startQueued() {
		while (this.queue.getSize() > 0) {
			if (!this.pool.hasCapacity()) {
				return;
			}
			Optional<OnlineStream> next = this.queue.poll(this::mayStart);
			if (next.isEmpty()) {
				return;
			}
			OnlineStream stream = next.orElseThrow();
			Optional<RunnerState> runner = choose(stream);
			if (runner.isEmpty()) {
				enqueue(stream);
				return;
			}
			start(stream, runner.orElseThrow(), recordActivity(stream.getRequest()));
		}
	}

	private void start(OnlineStream stream, RunnerState runner, Usage usage) {
		this.inFlight++;
		usage.inFlight++;
		stream.start(runner);
	}

	private void enqueue(OnlineStream stream) {
		OnlineRequest request = stream.getRequest();
		Profile profile = request.profile();
		Duration expected = this.waitEstimate.estimate(this.queue.getSize(request.workspace()), request.weight(),
				this.queue.getQueuedWeight() + ((this.queue.getSize(request.workspace()) == 0) ? request.weight() : 0));
		long limit = Math.min(profile.getMaxQueueMs(), stream.getRemainingMillis());
		if (profile.getOnOverload() == Profile.OnOverload.REFUSE || expected.toMillis() > limit) {
			stream.onRefused(overloaded(request, expected));
			return;
		}
		this.queue.offer(request.workspace(), request.weight(), cost(request), request.deadlineNanos(), stream)
			.ifPresent((evicted) -> evicted.onRefused(overloaded(evicted.getRequest(), expected)));
		if (!stream.isDone()) {
			stream.onQueued(limit);
		}
	}

	RefusedException overloaded(OnlineRequest request, Duration expected) {
		Duration retryAfter = (expected.compareTo(Duration.ofSeconds(1)) > 0) ? expected : Duration.ofSeconds(1);
		return new RefusedException(ErrorCode.OVERLOADED, "service " + request.service()
				+ " is at its concurrency limit and the profile does not allow the expected wait", retryAfter);
	}

	// A workspace may use its share of the capacity, and more while enough slots
	// remain for the workspaces below their share.
	private boolean mayStart(WorkspaceId workspace) {
		int spare = this.pool.getSpareSlots();
		if (spare <= 0) {
			return this.pool.hasCapacity();
		}
		int capacity = this.inFlight + spare;
		int weights = activeWeight();
		Usage usage = this.usages.get(workspace);
		if (usage == null || usage.weight >= weights) {
			return true;
		}
		if ((usage.inFlight + 1) * (double) weights <= (double) capacity * usage.weight) {
			return true;
		}
		return spare > Math.max(1, capacity * RESERVED_FRACTION);
	}

	private int activeWeight() {
		long now = this.ticker.millis();
		this.usages.values().removeIf((u) -> u.inFlight == 0 && now - u.lastMillis > WORKSPACE_ACTIVE_MILLIS);
		int sum = 0;
		for (Usage usage : this.usages.values()) {
			sum += usage.weight;
		}
		return sum;
	}

	private Usage recordActivity(OnlineRequest request) {
		Usage usage = this.usages.computeIfAbsent(request.workspace(), (w) -> new Usage());
		usage.weight = request.weight();
		usage.lastMillis = this.ticker.millis();
		return usage;
	}

	private Optional<RunnerState> choose(OnlineStream stream) {
		String prefix = EndpointSelector.affinityKey(stream.getRequest().prompt());
		List<RunnerState> local = this.pool.getLocalRunners();
		long now = this.ticker.nanos();
		Optional<RunnerState> chosen = choose(withoutFailed(local, stream), prefix, now);
		if (chosen.isEmpty()) {
			chosen = choose(local, prefix, now);
		}
		return chosen.isPresent() ? chosen : this.pool.spillOver(stream.getRequest(), this.random);
	}

	private Optional<RunnerState> choose(List<RunnerState> candidates, String prefix, long now) {
		List<Endpoint> endpoints = new ArrayList<>(candidates.size());
		for (RunnerState candidate : candidates) {
			endpoints.add(candidate.toEndpoint(now));
		}
		return this.policy.choose(endpoints, prefix, this.random::nextInt)
			.map((endpoint) -> candidates.get(endpoints.indexOf(endpoint)));
	}

	private static List<RunnerState> withoutFailed(List<RunnerState> candidates, OnlineStream stream) {
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
