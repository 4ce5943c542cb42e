package org.wigeonglade.core.member;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.google.common.hash.Hashing;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Rendezvous hashing (highest random weight). All hosts with the same members compute the
 * same ranking, and a member that is added or removed moves only the keys for which it
 * ranks first.
 */
public final class Rendezvous {

	private Rendezvous() {
	}

	/**
	 * Ranks members for a key.
	 * @param <T> the type of a member
	 * @param key the key, not null
	 * @param members the members, without duplicate names
	 * @param name returns the stable name of a member
	 * @return the members, best first; ties are broken by name
	 */
	public static <T> List<T> rank(String key, Collection<T> members, Function<T, String> name) {
		return members.stream()
			.map((m) -> new Scored<>(m, name.apply(m), score(key, name.apply(m))))
			.sorted(Comparator.<Scored<T>>comparingLong(Scored::score).reversed().thenComparing(Scored::name))
			.map(Scored::member)
			.toList();
	}

	/**
	 * Returns the member that ranks first for a key.
	 * @param <T> the type of a member
	 * @param key the key, not null
	 * @param members the members, without duplicate names
	 * @param name returns the stable name of a member
	 * @return the member, empty if there is none
	 */
	public static <T> Optional<T> first(String key, Collection<T> members, Function<T, String> name) {
		return members.stream()
			.map((m) -> new Scored<>(m, name.apply(m), score(key, name.apply(m))))
			.min(Comparator.<Scored<T>>comparingLong(Scored::score).reversed().thenComparing(Scored::name))
			.map(Scored::member);
	}

	/**
	 * Selects a subset of members for a key. The removal of one member replaces at most
	 * one element of the subset.
	 * @param <T> the type of a member
	 * @param key the key, not null
	 * @param members the members, without duplicate names
	 * @param name returns the stable name of a member
	 * @param size the largest size, at least 1
	 * @return the subset, best first
	 * @throws InvalidRequestException if the size is below 1
	 */
	public static <T> List<T> subset(String key, Collection<T> members, Function<T, String> name, int size) {
		if (size < 1) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					"subset size must be at least 1 but is " + size);
		}
		return rank(key, members, name).stream().limit(size).toList();
	}

	private static long score(String key, String name) {
		return Hashing.murmur3_128()
			.newHasher()
			.putInt(key.length())
			.putString(key, StandardCharsets.UTF_8)
			.putString(name, StandardCharsets.UTF_8)
			.hash()
			.asLong();
	}

	private record Scored<T>(T member, String name, long score) {

	}

}
