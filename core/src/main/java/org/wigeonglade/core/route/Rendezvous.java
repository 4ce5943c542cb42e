package org.wigeonglade.core.route;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.google.common.hash.Hashing;

/**
 * Ranks candidates for a key by highest random weight. All hosts that know the same
 * candidates get the same ranking, and the loss of one candidate moves only its own keys.
 */
public final class Rendezvous {

	private Rendezvous() {
	}

	/**
	 * Finds the first candidate of a key.
	 * @param <T> the type of the candidates
	 * @param key the key, not null
	 * @param candidates the candidates, not null
	 * @param name gives the stable name of a candidate, not null
	 * @return the first one, empty if there are no candidates
	 */
	public static <T> Optional<T> first(String key, Collection<T> candidates, Function<T, String> name) {
		T best = null;
		long bestWeight = 0;
		String bestName = "";
		for (T candidate : candidates) {
			String text = name.apply(candidate);
			long weight = weight(key, text);
			int order = Long.compareUnsigned(weight, bestWeight);
			if (best == null || order > 0 || (order == 0 && text.compareTo(bestName) < 0)) {
				best = candidate;
				bestWeight = weight;
				bestName = text;
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Ranks all candidates of a key.
	 * @param <T> the type of the candidates
	 * @param key the key, not null
	 * @param candidates the candidates, not null
	 * @param name gives the stable name of a candidate, not null
	 * @return the candidates, first one first
	 */
	public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> name) {
		Comparator<Ranked<T>> byWeight = (a, b) -> Long.compareUnsigned(b.weight(), a.weight());
		return candidates.stream()
			.map((c) -> new Ranked<>(c, name.apply(c), weight(key, name.apply(c))))
			.sorted(byWeight.thenComparing(Ranked::name))
			.map(Ranked::candidate)
			.toList();
	}

	private static long weight(String key, String name) {
		return Hashing.murmur3_128()
			.newHasher()
			.putString(key, StandardCharsets.UTF_8)
			.putByte((byte) 0)
			.putString(name, StandardCharsets.UTF_8)
			.hash()
			.asLong();
	}

	private record Ranked<T>(T candidate, String name, long weight) {
	}

}
