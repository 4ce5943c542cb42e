package org.wigeonglade.core.member;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
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

	/**
	 * Returns the weight of a member for a key. The member with the highest weight ranks
	 * first; of members with the same weight, the one with the lowest name.
	 * @param key the key, not null
	 * @param name the stable name of the member, not null
	 * @return the weight
	 */
	public static long score(String key, String name) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		byte[] nameBytes = name.getBytes(StandardCharsets.UTF_8);
		ByteBuffer input = ByteBuffer.allocate(Integer.BYTES + keyBytes.length + nameBytes.length)
			.order(ByteOrder.LITTLE_ENDIAN)
			.putInt(key.length())
			.put(keyBytes)
			.put(nameBytes);
		return Hashing.murmur3_128().hashBytes(input.array()).asLong();
	}

	private record Scored<T>(T member, String name, long score) {

	}

}
