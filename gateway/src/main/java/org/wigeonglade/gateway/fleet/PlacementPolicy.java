package org.wigeonglade.gateway.fleet;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

/**
 * The policy that places online requests and batch items on runners. It does no input or
 * output and keeps no state besides the random source: the same candidates, constraints,
 * report lag and random numbers give the same placement.
 * <ul>
 * <li>In a burst, batch items are preempted so that online requests do not queue.</li>
 * <li>When online requests alone occupy all slots, a request is queued at a runner where
 * it can still meet its latency target. If there is none, it is refused at once, whether
 * it is a first attempt or a retry: under sustained overload, queues of late requests
 * would make all others late too. Only a request that has started to run is queued as
 * long as it can meet its deadline.</li>
 * <li>Hosts see the same loads with a lag of a few tens of milliseconds. So that they do
 * not all choose the same runner, each host draws a runner at random, weighted by
 * capacity. If the capacity is smaller than the number of requests that the reports do
 * not show yet, requests are admitted to it at random.</li>
 * <li>If a request is queued behind batch items nevertheless, they are preempted once
 * later reports show it.</li>
 * </ul>
 */
public final class PlacementPolicy {

	/** Factor on the expected wait in a queue, because the run times of requests vary. */
	private static final double WAIT_SAFETY_FACTOR = 1.25;

	/** The same factor if the reports of other hosts lag behind by a request or more. */
	static final double WAIT_SAFETY_FACTOR_WITH_LAG = 2;

	/**
	 * Time in milliseconds from sending a short prompt to an idle runner until its first
	 * event arrives, including the round trip.
	 */
	private static final long FIRST_EVENT_LATENCY_MILLIS = 40;

	/**
	 * Longest queue at one runner, in multiples of its slots, that a request which has
	 * started to run may join. A request in a longer queue cannot be served within the
	 * few seconds that callers wait.
	 */
	private static final int MAX_QUEUE_PER_SLOT = 2;

	/**
	 * Lower bound of the wait from which the retry delay after an overload is drawn: most
	 * bursts are over by then.
	 */
	private static final Duration MIN_OVERLOAD_RETRY = Duration.ofMillis(800);

	/**
	 * Longest retry delay as a fraction of the time left until the deadline; callers do
	 * not accept longer delays.
	 */
	private static final double MAX_RETRY_FRACTION = 1.0 / 3;

	/**
	 * Requests beyond the rate limit of a runner that are left to requests which have
	 * started to run elsewhere and would be lost.
	 */
	private static final int RATE_LIMIT_RESERVE = 1;

	/**
	 * Time after which load reports reflect a preemption; a report that was in flight
	 * still counts the preempted items.
	 */
	private static final Duration PREEMPTION_REPORT_DELAY = Duration.ofMillis(100);

	/** Retry delay if there is no runner; runners register about once a second. */
	private static final Duration NO_RUNNER_RETRY = Duration.ofMillis(400);

	/** Shortest retry delay, so that a refused caller does not retry immediately. */
	private static final Duration MIN_RETRY = Duration.ofMillis(40);

	/** Age of reports relative to the hold time from which loads are outdated. */
	private static final double MAX_LAG_SHARE = 0.5;

	/** Resolution of speeds as weights of a draw. */
	private static final int SPEED_STEPS = 1_000;

	/**
	 * Share of requests that are placed by chance although the reports are current, while
	 * a runner is slower than the others.
	 */
	private static final double PROBE_SHARE = 0.05;

	private final RandomGenerator random;

	private final Supplier<Duration> reportLag;

	/**
	 * Creates a policy.
	 * @param random the source of random numbers, not null
	 * @param reportLag supplies the age of the load reports of other hosts, not null
	 */
	public PlacementPolicy(RandomGenerator random, Supplier<Duration> reportLag) {
		this.random = random;
		this.reportLag = reportLag;
	}

	/**
	 * Places an online request.
	 * @param candidates the runners of the service that accept requests, not null
	 * @param constraints the timing constraints of the request, not null
	 * @return the placement, never null
	 */
	public Placement place(List<Candidate> candidates, RequestConstraints constraints) {
		List<Candidate> healthy = preferHealthy(candidates);
		if (healthy.isEmpty()) {
			return new Placement.Refuse(Placement.Cause.NO_RUNNER, retryAfter(NO_RUNNER_RETRY, constraints));
		}
		int reserve = constraints.refusable() ? 0 : RATE_LIMIT_RESERVE;
		List<Candidate> usable = healthy.stream().filter((c) -> c.allowance().online() > -reserve).toList();
		if (usable.isEmpty()) {
			return new Placement.Refuse(Placement.Cause.RATE_LIMITED, retryAfter(MIN_OVERLOAD_RETRY, constraints));
		}
		// The requests of rate limits are saved for bursts, in which no other slot is
		// free.
		List<Candidate> unlimited = usable.stream().filter((c) -> !c.allowance().isLimited()).toList();
		return placeWithoutQueue(unlimited).or(() -> placeWithoutQueue(usable))
			.orElseGet(() -> queueOrRefuse(usable, constraints, estimateUnreportedRequests(usable)));
	}

	/**
	 * Refuses an online request that currently fits into the memory of no runner.
	 * @param constraints the timing constraints of the request, not null
	 * @return the refusal, never null
	 */
	public Placement.Refuse refuseForMemory(RequestConstraints constraints) {
		return new Placement.Refuse(Placement.Cause.MEMORY_FULL, retryAfter(MIN_OVERLOAD_RETRY, constraints));
	}

	/**
	 * Decides how many batch items to preempt for a request that was sent to a runner and
	 * has had no response for a while.
	 * @param runner the runner with its current load, not null
	 * @param sincePreemption the time since preemption was last requested on behalf of
	 * the request, not null; very long if it never was
	 * @return the number of batch items to preempt, 0 or 1
	 */
	public int getPreemptionsForWaitingRequest(Candidate runner, Duration sincePreemption) {
		boolean reported = sincePreemption.compareTo(PREEMPTION_REPORT_DELAY) >= 0;
		return (reported && runner.getFreeSlots() < 0 && runner.load().batch() > 0) ? 1 : 0;
	}

	/**
	 * Places a batch item on an idle slot. Runners with a rate limit are tried first,
	 * since an item holds a slot for long with one request, then those with the most idle
	 * slots, weighted by their speed.
	 * @param candidates the runners of the service that accept requests, not null
	 * @param slotAllocator allocates an idle slot of a runner and returns true, or
	 * returns false if none is allocated to this host, not null
	 * @return the runner, empty if no slot is idle or none is allocated to this host
	 */
	public Optional<RunnerEntry> placeBatch(List<Candidate> candidates, Predicate<Candidate> slotAllocator) {
		return candidates.stream()
			.filter((c) -> !c.avoided() && c.getBatchCapacity() > 0)
			.sorted(Comparator.<Candidate, Boolean>comparing((c) -> !c.allowance().isLimited())
				.thenComparing(Comparator.comparingDouble(PlacementPolicy::getIdleSpeed).reversed()))
			.filter(slotAllocator)
			.findFirst()
			.map(Candidate::entry);
	}

	private Optional<Placement> placeWithoutQueue(List<Candidate> usable) {
		double unreported = estimateUnreportedRequests(usable);
		for (ToIntFunction<Candidate> capacity : List.<ToIntFunction<Candidate>>of(PlacementPolicy::getFreeCapacity,
				PlacementPolicy::getPreemptibleCapacity)) {
			if (sum(usable, capacity) > unreported) {
				Candidate chosen = choose(usable, capacity, unreported);
				return Optional.of(new Placement.Send(chosen.entry(), Duration.ZERO, chosen.getNeededPreemptions()));
			}
		}
		return Optional.empty();
	}

	private Placement queueOrRefuse(List<Candidate> usable, RequestConstraints constraints, double unreported) {
		double safetyFactor = (unreported < 1) ? WAIT_SAFETY_FACTOR : WAIT_SAFETY_FACTOR_WITH_LAG;
		ToIntFunction<Candidate> capacity = (c) -> getOnTimeCapacity(c, constraints, safetyFactor);
		long total = sum(usable, capacity);
		if (total > 0 && total > unreported * this.random.nextDouble()) {
			Candidate chosen = choose(usable, capacity, unreported);
			return new Placement.Send(chosen.entry(), getExpectedWait(chosen), chosen.getNeededPreemptions());
		}
		Candidate shortest = selectBest(usable, Comparator.comparingDouble(Candidate::getQueueMillis));
		if (!constraints.refusable() && canMeetDeadline(shortest, constraints)) {
			return new Placement.Send(shortest.entry(), getExpectedWait(shortest), shortest.getNeededPreemptions());
		}
		return new Placement.Refuse(Placement.Cause.OVERLOADED,
				retryAfter(max(getExpectedWait(shortest), MIN_OVERLOAD_RETRY), constraints));
	}

	private static boolean canMeetDeadline(Candidate candidate, RequestConstraints constraints) {
		long completionMillis = getExpectedWait(candidate).plus(candidate.meanHoldTime()).toMillis();
		return completionMillis <= constraints.untilDeadline().toMillis()
				&& candidate.getOnlineExcess() < MAX_QUEUE_PER_SLOT * candidate.entry().slots();
	}

	// Estimates how many requests other hosts have sent since their last reports,
	// from the rate at which runners complete requests.
	private double estimateUnreportedRequests(List<Candidate> candidates) {
		double lagMillis = this.reportLag.get().toNanos() / 1e6;
		return candidates.stream()
			.mapToDouble((c) -> lagMillis * Math.min(c.load().online(), c.entry().slots())
					/ Math.max(1, c.meanHoldTime().toMillis()))
			.sum();
	}

	static int getFreeCapacity(Candidate candidate) {
		return Math.max(0, Math.min(candidate.allowance().online(), candidate.getUsefulSlots()));
	}

	// A preempted item takes another request of a rate limit when it is resumed.
	static int getPreemptibleCapacity(Candidate candidate) {
		return Math.max(0, Math.min(candidate.allowance().online() / 2, -candidate.getOnlineExcess()));
	}

	// The number of further requests that would meet the latency target at the
	// runner.
	static int getOnTimeCapacity(Candidate candidate, RequestConstraints constraints, double safetyFactor) {
		double maxWaitMillis = (constraints.untilTarget().toMillis() - FIRST_EVENT_LATENCY_MILLIS) / safetyFactor;
		double slotIntervalMillis = Math.max(1, candidate.meanHoldTime().toMillis())
				/ (double) candidate.entry().slots();
		int onTime = (int) Math.floor(maxWaitMillis / slotIntervalMillis) - candidate.getOnlineExcess();
		return Math.max(0, Math.min(candidate.allowance().online(), onTime));
	}

	private static long sum(List<Candidate> candidates, ToIntFunction<Candidate> capacity) {
		return candidates.stream().mapToLong(capacity::applyAsInt).sum();
	}

	// With current reports, the runner with the most capacity is the best choice.
	// With outdated ones, each host draws two runners weighted by capacity and takes
	// the better one, so that the requests of all hosts together are distributed in
	// proportion to the capacity. A slot counts as much as its speed.
	private Candidate choose(List<Candidate> candidates, ToIntFunction<Candidate> capacity, double unreported) {
		List<Candidate> eligible = candidates.stream().filter((c) -> capacity.applyAsInt(c) > 0).toList();
		ToLongFunction<Candidate> weight = weightBySpeed(eligible, capacity);
		if (unreported < 1 && !isProbe(eligible)) {
			return selectBest(eligible, Comparator.comparingLong(weight).reversed());
		}
		Candidate first = drawByWeight(eligible, weight);
		if (isOutdated(eligible)) {
			return first;
		}
		Candidate second = drawByWeight(eligible, weight);
		return (weight.applyAsLong(second) > weight.applyAsLong(first)) ? second : first;
	}

	// Where requests are about as short as the reports are old, the reported loads tell
	// little, and the better one of two runners would be that of many hosts. With runners
	// of 6 slots that differ in speed, full ones then refuse twice as many requests.
	private boolean isOutdated(List<Candidate> eligible) {
		double lagMillis = this.reportLag.get().toNanos() / 1e6;
		return eligible.stream().mapToDouble((c) -> c.capacity().speed()).distinct().count() > 1
				&& eligible.stream().anyMatch((c) -> MAX_LAG_SHARE * c.meanHoldTime().toMillis() <= lagMillis);
	}

	// A runner that is slower than the others would not be chosen again while they have
	// room, and its recovery would not be noticed.
	private boolean isProbe(List<Candidate> eligible) {
		return eligible.stream().anyMatch((c) -> c.capacity().speed() < 1) && this.random.nextDouble() < PROBE_SHARE;
	}

	private static ToLongFunction<Candidate> weightBySpeed(List<Candidate> candidates,
			ToIntFunction<Candidate> capacity) {
		boolean alike = candidates.stream().mapToDouble((c) -> c.capacity().speed()).distinct().count() <= 1;
		return alike ? capacity::applyAsInt
				: (c) -> Math.max(1, Math.round(SPEED_STEPS * c.capacity().speed() * capacity.applyAsInt(c)));
	}

	private Candidate drawByWeight(List<Candidate> candidates, ToLongFunction<Candidate> weight) {
		long position = this.random.nextLong(candidates.stream().mapToLong(weight).sum());
		for (Candidate candidate : candidates) {
			position -= weight.applyAsLong(candidate);
			if (position < 0) {
				return candidate;
			}
		}
		throw new IllegalStateException("no candidate has capacity");
	}

	private static double getIdleSpeed(Candidate candidate) {
		return candidate.getFreeSlots() * candidate.capacity().speed();
	}

	private static Duration getExpectedWait(Candidate candidate) {
		return Duration.ofMillis(Math.round(candidate.getQueueMillis() * WAIT_SAFETY_FACTOR));
	}

	// Draws a random delay, so that callers refused at the same time do not retry
	// together. It is long enough for a burst to end, but leaves time before the
	// deadline, because callers do not retry later.
	private Duration retryAfter(Duration wait, RequestConstraints constraints) {
		double maxMillis = Math.max(0, constraints.untilDeadline().toMillis()) * MAX_RETRY_FRACTION;
		double upper = Math.min(2.0 * wait.toMillis(), maxMillis);
		double lower = Math.min(wait.toMillis(), upper / 2);
		double millis = lower + (upper - lower) * this.random.nextDouble();
		return Duration.ofMillis(Math.max(MIN_RETRY.toMillis(), Math.round(millis)));
	}

	private static Duration max(Duration first, Duration second) {
		return (first.compareTo(second) >= 0) ? first : second;
	}

	static List<Candidate> preferHealthy(List<Candidate> candidates) {
		List<Candidate> healthy = candidates.stream().filter((c) -> !c.avoided()).toList();
		return healthy.isEmpty() ? candidates : healthy;
	}

	private Candidate selectBest(List<Candidate> candidates, Comparator<Candidate> order) {
		Comparator<Candidate> full = order.thenComparing(Candidate::sameDomain, Comparator.reverseOrder());
		Candidate best = null;
		int ties = 0;
		for (Candidate candidate : candidates) {
			int comparison = (best != null) ? full.compare(candidate, best) : -1;
			if (comparison < 0) {
				best = candidate;
				ties = 1;
			}
			else if (comparison == 0 && this.random.nextInt(++ties) == 0) {
				best = candidate;
			}
		}
		return best;
	}

}
