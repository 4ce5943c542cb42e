package org.wigeonglade.core.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntUnaryOperator;

import org.wigeonglade.core.member.Rendezvous;

/**
 * Chooses an upstream for a request: the rendezvous choice of the prompt prefix while its
 * load is bounded, otherwise the less used of two random candidates.
 */
public final class EndpointChoice {

	/** Factor over the mean load up to which prefix affinity holds. */
	private static final double LOAD_BOUND = 1.25;

	/**
	 * Characters of the prompt that make up its prefix. Requests of one application
	 * usually share their instructions, which are at the start.
	 */
	private static final int PREFIX_CHARS = 256;

	private EndpointChoice() {
	}

	/**
	 * Returns the affinity key of a prompt.
	 * @param prompt the prompt, not null
	 * @return its prefix, never null
	 */
	public static String prefixOf(String prompt) {
		return (prompt.length() <= PREFIX_CHARS) ? prompt : prompt.substring(0, PREFIX_CHARS);
	}

	/**
	 * Chooses a candidate.
	 * @param candidates the candidates, not null
	 * @param prefix the affinity key, empty for none
	 * @param random gives a number from 0 inclusive to its argument exclusive
	 * @return the chosen candidate, empty if none has room
	 */
	public static Optional<Endpoint> choose(List<Endpoint> candidates, String prefix, IntUnaryOperator random) {
		List<Endpoint> open = new ArrayList<>(candidates.size());
		long total = 0;
		for (Endpoint candidate : candidates) {
			total += candidate.load();
			if (candidate.hasRoom()) {
				open.add(candidate);
			}
		}
		if (open.isEmpty()) {
			return Optional.empty();
		}
		if (!prefix.isEmpty()) {
			Endpoint target = Rendezvous.first(prefix, candidates, Endpoint::name).orElseThrow();
			double bound = Math.ceil(LOAD_BOUND * (total + 1) / candidates.size());
			if (target.hasRoom() && target.load() + 1 <= bound) {
				return Optional.of(target);
			}
		}
		return Optional.of(lessUsedOfTwo(open, random));
	}

	private static Endpoint lessUsedOfTwo(List<Endpoint> open, IntUnaryOperator random) {
		int first = random.applyAsInt(open.size());
		if (open.size() == 1) {
			return open.get(first);
		}
		int second = random.applyAsInt(open.size() - 1);
		second += (second >= first) ? 1 : 0;
		Endpoint a = open.get(first);
		Endpoint b = open.get(second);
		return (b.getUse() < a.getUse()) ? b : a;
	}

}
