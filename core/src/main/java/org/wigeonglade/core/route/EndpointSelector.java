package org.wigeonglade.core.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntUnaryOperator;

import org.wigeonglade.core.member.Rendezvous;

/**
 * Load balancer with prefix affinity: the first candidate by rendezvous hashing of the
 * prompt prefix while its load is bounded, otherwise the less utilized of two random
 * candidates.
 */
public final class EndpointSelector {

	/** Multiple of the mean load up to which prefix affinity applies. */
	private static final double LOAD_BOUND_FACTOR = 1.25;

	/**
	 * Characters of the prompt that form the affinity key. Requests of one application
	 * usually share the instructions at the start of the prompt.
	 */
	private static final int PREFIX_LENGTH = 256;

	private EndpointSelector() {
	}

	/**
	 * Returns the affinity key of a prompt.
	 * @param prompt the prompt, not null
	 * @return its prefix, never null
	 */
	public static String affinityKey(String prompt) {
		return (prompt.length() <= PREFIX_LENGTH) ? prompt : prompt.substring(0, PREFIX_LENGTH);
	}

	/**
	 * Chooses a candidate.
	 * @param candidates the candidates, not null
	 * @param affinityKey the affinity key, empty for none
	 * @param random returns a number from 0 inclusive to its argument exclusive
	 * @return the chosen candidate, empty if none has free capacity
	 */
	public static Optional<Endpoint> choose(List<Endpoint> candidates, String affinityKey, IntUnaryOperator random) {
		List<Endpoint> available = new ArrayList<>(candidates.size());
		long totalLoad = 0;
		for (Endpoint candidate : candidates) {
			totalLoad += candidate.load();
			if (candidate.hasCapacity()) {
				available.add(candidate);
			}
		}
		if (available.isEmpty()) {
			return Optional.empty();
		}
		if (!affinityKey.isEmpty()) {
			Endpoint preferred = Rendezvous.first(affinityKey, candidates, Endpoint::name).orElseThrow();
			double bound = Math.ceil(LOAD_BOUND_FACTOR * (totalLoad + 1) / candidates.size());
			if (preferred.hasCapacity() && preferred.load() + 1 <= bound) {
				return Optional.of(preferred);
			}
		}
		return Optional.of(lessUtilizedOfTwo(available, random));
	}

	private static Endpoint lessUtilizedOfTwo(List<Endpoint> available, IntUnaryOperator random) {
		int first = random.applyAsInt(available.size());
		if (available.size() == 1) {
			return available.get(first);
		}
		int second = random.applyAsInt(available.size() - 1);
		second += (second >= first) ? 1 : 0;
		Endpoint a = available.get(first);
		Endpoint b = available.get(second);
		return (b.getUtilization() < a.getUtilization()) ? b : a;
	}

}
