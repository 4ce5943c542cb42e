package org.wigeonglade.gateway.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;

import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.ServiceName;

/**
 * The policy that selects the runners on which the tokens of a request fit. Services
 * without a capacity are not affected. It does no input or output. Part of the memory of
 * a runner is kept in reserve:
 * <ul>
 * <li>for the requests that other hosts have sent since their last reports: as many as
 * are expected from the rate at which runners complete requests, with a safety margin for
 * their number and sizes. The fewer runners a request fits on, the more requests of other
 * hosts go to the same runner, and the larger the reserve;</li>
 * <li>for the hosts that are not heard: in proportion to their number, so that the sides
 * of a network partition do not exceed the memory together, and at least what they
 * reported last;</li>
 * <li>for online requests: batch items leave a part of the memory free.</li>
 * </ul>
 */
public final class KvMemoryPolicy {

	/**
	 * Part of the capacity that a request of unknown size counts as: with 8 slots, a
	 * runner takes a request in each slot and as many in its queue.
	 */
	private static final int UNKNOWN_SIZE_DIVISOR = 16;

	/** Part of the capacity that batch items leave to online requests. */
	private static final double ONLINE_SHARE = 0.25;

	/**
	 * Largest part of the capacity that is kept for hosts that are not heard, so that a
	 * host that hears no others can serve at all. Together, a partitioned host with this
	 * much and a large majority may exceed the memory; the few requests that reach a
	 * single host do not.
	 */
	private static final double MAX_UNHEARD_SHARE = 0.75;

	/**
	 * Standard deviations of the tokens of unreported requests that are kept in reserve.
	 * Sizes differ by a factor of 65, so that the distribution has a long tail.
	 */
	private static final double RESERVE_DEVIATIONS = 5;

	/**
	 * Time in milliseconds that a report takes beyond the time for which changes are
	 * coalesced: the network and a busy event loop at both ends.
	 */
	private static final double TRANSFER_MILLIS = 10;

	/** Weight of the queue of a runner, in free slots. */
	private static final double QUEUE_WEIGHT = 0.5;

	private final KvMemoryTracker tracker;

	private final Function<ServiceName, OptionalLong> capacities;

	private final Supplier<Duration> reportLag;

	private final Supplier<Collection<HostStatus>> hosts;

	private final Map<ServiceName, SizeEstimate> sizes = new HashMap<>();

	/**
	 * Creates a policy.
	 * @param tracker the tokens in progress, not null
	 * @param capacities supplies the memory of a runner of a service in tokens, empty
	 * without accounting; not null
	 * @param reportLag supplies the age of the reports of other hosts, not null
	 * @param hosts supplies the other hosts, not null
	 */
	public KvMemoryPolicy(KvMemoryTracker tracker, Function<ServiceName, OptionalLong> capacities,
			Supplier<Duration> reportLag, Supplier<Collection<HostStatus>> hosts) {
		this.tracker = tracker;
		this.capacities = capacities;
		this.reportLag = reportLag;
		this.hosts = hosts;
	}

	/**
	 * Returns a policy that accounts for the memory of no service.
	 * @return a policy, never null
	 */
	public static KvMemoryPolicy none() {
		return new KvMemoryPolicy(new KvMemoryTracker(), (service) -> OptionalLong.empty(), () -> Duration.ZERO,
				List::of);
	}

	/**
	 * Returns the tokens in progress.
	 * @return the tracker, never null
	 */
	public KvMemoryTracker getTracker() {
		return this.tracker;
	}

	/**
	 * Returns the number of tokens that a request counts as.
	 * @param service the service, not null
	 * @param stated the stated size of the request, 0 if it is not known
	 * @return the number, 0 if the memory of the service is not accounted for
	 */
	public long getSize(ServiceName service, long stated) {
		OptionalLong capacity = this.capacities.apply(service);
		if (capacity.isEmpty()) {
			return 0;
		}
		return (stated > 0) ? stated : Math.max(1, capacity.getAsLong() / UNKNOWN_SIZE_DIVISOR);
	}

	/**
	 * Returns why a request fits on no runner of a service, however idle.
	 * @param service the service, not null
	 * @param stated the stated size of the request, 0 if it is not known
	 * @return the reason, empty if the request fits on an idle runner
	 */
	public Optional<String> findExcess(ServiceName service, long stated) {
		OptionalLong capacity = this.capacities.apply(service);
		return (capacity.isPresent() && stated > capacity.getAsLong()) ? Optional
			.of("its " + stated + " tokens exceed the memory of every runner, " + capacity.getAsLong() + " tokens")
				: Optional.empty();
	}

	/**
	 * Counts a request that is sent to a runner. Its size is also a sample for the
	 * reserve for requests of other hosts.
	 * @param runner the runner, not null
	 * @param stated the stated size of the request, 0 if it is not known
	 * @return the number of tokens that the request counts as, to be removed when it
	 * ends; 0 if the memory of the service is not accounted for
	 */
	public long charge(RunnerEntry runner, long stated) {
		long tokens = getSize(runner.service(), stated);
		if (tokens > 0) {
			this.sizes.computeIfAbsent(runner.service(), (s) -> new SizeEstimate()).add(tokens);
			this.tracker.add(runner.id(), tokens);
		}
		return tokens;
	}

	/**
	 * Selects the runners on which a request fits now.
	 * @param candidates the runners of the service that accept requests, not null
	 * @param stated the stated size of the request, 0 if it is not known
	 * @param batch whether it is a batch item
	 * @return the runners in the same order; all of them if the memory of the service is
	 * not accounted for, never null
	 */
	public List<Candidate> selectFitting(List<Candidate> candidates, long stated, boolean batch) {
		if (candidates.isEmpty()) {
			return candidates;
		}
		ServiceName service = candidates.get(0).entry().service();
		OptionalLong limit = this.capacities.apply(service);
		if (limit.isEmpty()) {
			return candidates;
		}
		long capacity = limit.getAsLong();
		long size = getSize(service, stated);
		if (size > capacity) {
			return List.of();
		}
		Unheard unheard = findUnheard(capacity);
		Unreported unreported = estimateUnreported(service, candidates, capacity);
		double kept = batch ? ONLINE_SHARE * capacity : 0;
		List<Candidate> fitting = candidates;
		int count;
		// Fewer runners have room for more unreported requests each, so the reserve
		// rises until the same runners remain.
		do {
			count = fitting.size();
			double totalWeight = fitting.stream().mapToDouble(KvMemoryPolicy::getWeight).sum();
			fitting = fitting.stream()
				.filter((c) -> fits(c, size, capacity,
						kept + unreported.getReserve(Math.min(1, 2 * getWeight(c) / totalWeight)), unheard))
				.toList();
		}
		while (!fitting.isEmpty() && fitting.size() < count);
		return fitting;
	}

	// A request of more than half of the memory may take up the reserve, but of an idle
	// runner only. If smaller requests did, all hosts would send theirs to the first
	// runner that becomes idle.
	private boolean fits(Candidate candidate, long size, long capacity, double reserve, Unheard unheard) {
		RunnerId runner = candidate.entry().id();
		long silent = unheard.tokens().getOrDefault(runner, 0L);
		long heard = this.tracker.getTokens(runner) - silent;
		double free = capacity - heard - Math.max(unheard.reserve(), silent);
		boolean idle = size > capacity / 2 && heard + silent == 0 && candidate.load().getTotal() == 0;
		return size <= free - (idle ? Math.min(reserve, capacity - size) : reserve);
	}

	private Unheard findUnheard(long capacity) {
		Collection<HostStatus> others = this.hosts.get();
		Set<HostId> alive = new HashSet<>();
		others.stream().filter(HostStatus::alive).forEach((host) -> alive.add(host.host()));
		int silent = others.size() - alive.size();
		double share = Math.min(MAX_UNHEARD_SHARE, silent / (others.size() + 1.0));
		return new Unheard(share * capacity, this.tracker.sumReports((host) -> !alive.contains(host)));
	}

	// Requests go to runners in proportion to their free slots, or to any queue once no
	// slot is free.
	private static double getWeight(Candidate candidate) {
		return Math.max(0, -candidate.getOnlineExcess()) + QUEUE_WEIGHT;
	}

	private Unreported estimateUnreported(ServiceName service, List<Candidate> candidates, long capacity) {
		double lagMillis = this.reportLag.get().toNanos() / 1e6 + TRANSFER_MILLIS;
		double requests = candidates.stream()
			.mapToDouble((c) -> lagMillis * Math.min(c.load().getTotal(), c.entry().slots())
					/ Math.max(1, c.meanHoldTime().toMillis()))
			.sum();
		SizeEstimate size = this.sizes.get(service);
		double mean = (size != null) ? size.getMean() : capacity / (double) UNKNOWN_SIZE_DIVISOR;
		return new Unreported(requests, mean, (size != null) ? size.getMeanSquare() : mean * mean);
	}

	/**
	 * Another host.
	 *
	 * @param host the host, not null
	 * @param alive whether its datagrams are received
	 */
	public record HostStatus(HostId host, boolean alive) {

	}

	/**
	 * The requests that other hosts have sent since their last reports.
	 *
	 * @param requests their expected number
	 * @param mean the mean of their sizes in tokens
	 * @param meanSquare the mean of the squares of their sizes
	 */
	private record Unreported(double requests, double mean, double meanSquare) {

		// With less than one request in the fleet, all hosts choose the same runner.
		// Otherwise they draw the better of two runners, so that a runner gets up to
		// twice its share.
		private double getReserve(double share) {
			double expected = (this.requests < 1) ? this.requests : this.requests * share;
			return expected * this.mean + RESERVE_DEVIATIONS * Math.sqrt(expected * this.meanSquare);
		}

	}

	/**
	 * The memory that is kept for hosts that are not heard.
	 *
	 * @param reserve the tokens at each runner
	 * @param tokens the tokens that these hosts reported last, by runner
	 */
	private record Unheard(double reserve, Map<RunnerId, Long> tokens) {

	}

	/**
	 * Exponentially weighted moments of the sizes of requests.
	 */
	private static final class SizeEstimate {

		/** Weight of a new sample; about the last hundred requests count. */
		private static final double WEIGHT = 0.01;

		private double mean;

		private double meanSquare;

		private int samples;

		private void add(long tokens) {
			double weight = Math.max(WEIGHT, 1.0 / ++this.samples);
			this.mean += weight * (tokens - this.mean);
			this.meanSquare += weight * ((double) tokens * tokens - this.meanSquare);
			// The counter matters only for the first samples.
			this.samples = Math.min(this.samples, 1_000);
		}

		private double getMean() {
			return this.mean;
		}

		private double getMeanSquare() {
			return this.meanSquare;
		}

	}

}
