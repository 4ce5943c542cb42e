package org.wigeonglade.gateway.fleet;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Places requests and batch items on runners. Pure: the same candidates, demand and
 * random numbers give the same placement.
 * <p>
 * Load patterns answered: in a burst, batch items give their slots back instead of
 * letting online requests queue; when online requests alone fill all slots, a request
 * queues at the runner with the shortest queue as long as it can be in time there, and is
 * refused at once otherwise, with the time at which a slot is expected.
 */
public final class PlacementPolicy {

	/**
	 * Part of the expected wait kept as reserve, since reports of other hosts are a few
	 * milliseconds old.
	 */
	private static final double WAIT_RESERVE = 1.25;

	/**
	 * Time in milliseconds that an idle runner takes to the first event of a short
	 * prompt, with the way there and back.
	 */
	private static final long FIRST_EVENT_MILLIS = 40;

	/**
	 * Longest queue at one runner in multiples of its slots. Beyond it a request cannot
	 * be served in the few seconds that callers wait.
	 */
	private static final int LONGEST_QUEUE_PER_SLOT = 2;

	/** Retry time while no runner is registered: runners report about each second. */
	private static final Duration RETRY_WITHOUT_RUNNER = Duration.ofMillis(400);

	/** Shortest retry time, so that a refused caller does not come back at once. */
	private static final Duration SHORTEST_RETRY = Duration.ofMillis(40);

	private final RandomGenerator random;

	/**
	 * Creates a policy.
	 * @param random breaks ties between equally good runners, not null
	 */
	public PlacementPolicy(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Places an online request.
	 * @param candidates the usable runners of the service, not null
	 * @param demand what the request needs, not null
	 * @return the placement, never null
	 */
	public Placement place(List<Candidate> candidates, Demand demand) {
		List<Candidate> usable = preferSound(candidates);
		if (usable.isEmpty()) {
			return new Placement.Refuse(Placement.Cause.NO_RUNNER, retryAfter(RETRY_WITHOUT_RUNNER));
		}
		Candidate emptiest = best(usable, Comparator.comparingInt(Candidate::getFreeSlots).reversed());
		if (emptiest.getFreeSlots() > 0) {
			return new Placement.Send(emptiest.entry(), Duration.ZERO, 0);
		}
		Candidate leastOnline = best(usable, Comparator.comparingInt(Candidate::getOnlineExcess));
		if (leastOnline.getOnlineExcess() < 0) {
			return new Placement.Send(leastOnline.entry(), Duration.ZERO, leastOnline.getNeededPreemptions());
		}
		return queueOrRefuse(best(usable, Comparator.comparingDouble(Candidate::getQueueMillis)), demand);
	}

	/**
	 * Places a batch item on an idle slot.
	 * @param candidates the usable runners of the service, not null
	 * @param slotTaker takes an idle slot of a runner if it falls to this host, not null
	 * @return the runner, empty if no slot is idle or none falls to this host
	 */
	public Optional<RunnerEntry> placeBatch(List<Candidate> candidates, Predicate<Candidate> slotTaker) {
		return candidates.stream()
			.filter((c) -> !c.avoided() && c.getFreeSlots() > 0)
			.sorted(Comparator.comparingInt(Candidate::getFreeSlots).reversed())
			.filter(slotTaker)
			.findFirst()
			.map(Candidate::entry);
	}

	private Placement queueOrRefuse(Candidate shortest, Demand demand) {
		int ahead = shortest.getOnlineExcess() + 1;
		long waitMillis = Math.round(shortest.getQueueMillis() * WAIT_RESERVE);
		boolean inTime = waitMillis + FIRST_EVENT_MILLIS <= demand.untilTarget().toMillis();
		boolean inDeadline = waitMillis + shortest.meanHold().toMillis() <= demand.untilDeadline().toMillis()
				&& ahead <= LONGEST_QUEUE_PER_SLOT * shortest.entry().slots();
		if (inTime || (!demand.refusable() && inDeadline)) {
			return new Placement.Send(shortest.entry(), Duration.ofMillis(waitMillis), shortest.getNeededPreemptions());
		}
		return new Placement.Refuse(Placement.Cause.OVERLOADED, retryAfter(Duration.ofMillis(waitMillis)));
	}

	// Spread over twice the wait, so that callers refused together return apart.
	private Duration retryAfter(Duration wait) {
		Duration spread = Duration.ofMillis(Math.round(wait.toMillis() * (1 + this.random.nextDouble())));
		return (spread.compareTo(SHORTEST_RETRY) < 0) ? SHORTEST_RETRY : spread;
	}

	private static List<Candidate> preferSound(List<Candidate> candidates) {
		List<Candidate> sound = candidates.stream().filter((c) -> !c.avoided()).toList();
		return sound.isEmpty() ? candidates : sound;
	}

	private Candidate best(List<Candidate> candidates, Comparator<Candidate> order) {
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
