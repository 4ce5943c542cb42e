package org.wigeonglade.core.workspace;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.hash.Hashing;

/**
 * Index of the owners of API keys. It holds the SHA-256 of each key only. Immutable.
 * <p>
 * Candidates are looked up by the first bytes of the SHA-256 of the key, which an
 * attacker cannot choose without knowledge of the hash; the complete hash is then
 * compared in constant time.
 *
 * @param <T> the type of the owners
 */
public final class ApiKeyIndex<T> {

	private static final int PREFIX_BYTES = 4;

	private final Map<Integer, List<KeyEntry<T>>> entriesByPrefix;

	private ApiKeyIndex(Map<Integer, List<KeyEntry<T>>> entriesByPrefix) {
		this.entriesByPrefix = entriesByPrefix;
	}

	/**
	 * Returns a builder.
	 * @param <T> the type of the owners
	 * @return a builder without keys, never null
	 */
	public static <T> Builder<T> builder() {
		return new Builder<>();
	}

	/**
	 * Returns the owner of a key.
	 * @param apiKey the key, not null
	 * @return the owner, empty if the key is unknown
	 */
	public Optional<T> find(String apiKey) {
		return findByHash(hash(apiKey));
	}

	private Optional<T> findByHash(byte[] presented) {
		for (KeyEntry<T> entry : this.entriesByPrefix.getOrDefault(prefix(presented), List.of())) {
			if (MessageDigest.isEqual(entry.hash(), presented)) {
				return Optional.of(entry.owner());
			}
		}
		return Optional.empty();
	}

	private static byte[] hash(String apiKey) {
		return Hashing.sha256().hashString(apiKey, StandardCharsets.UTF_8).asBytes();
	}

	private static int prefix(byte[] hash) {
		int value = 0;
		for (int i = 0; i < PREFIX_BYTES; i++) {
			value = (value << 8) | (hash[i] & 0xff);
		}
		return value;
	}

	/**
	 * Builds an {@link ApiKeyIndex}.
	 *
	 * @param <T> the type of the owners
	 */
	public static final class Builder<T> {

		private final Map<Integer, List<KeyEntry<T>>> entriesByPrefix = new HashMap<>();

		private Builder() {
		}

		/**
		 * Adds a key.
		 * @param apiKey the key, not null
		 * @param owner its owner, not null
		 * @return the owner that the key had before, empty if it is new
		 */
		public Optional<T> addKey(String apiKey, T owner) {
			return addHash(hash(apiKey), owner);
		}

		/**
		 * Adds the hash of a key.
		 * @param hash the SHA-256 of the key, not null
		 * @param owner its owner, not null
		 * @return the owner that the key had before, empty if it is new
		 */
		public Optional<T> addHash(byte[] hash, T owner) {
			List<KeyEntry<T>> entries = this.entriesByPrefix.computeIfAbsent(prefix(hash), (p) -> new ArrayList<>(1));
			Optional<T> previous = entries.stream()
				.filter((entry) -> MessageDigest.isEqual(entry.hash(), hash))
				.map(KeyEntry::owner)
				.findFirst();
			if (previous.isEmpty()) {
				entries.add(new KeyEntry<>(hash, owner));
			}
			return previous;
		}

		/**
		 * Builds the index.
		 * @return the index, never null
		 */
		public ApiKeyIndex<T> build() {
			return new ApiKeyIndex<>(Map.copyOf(this.entriesByPrefix));
		}

	}

	private record KeyEntry<T>(byte[] hash, T owner) {
	}

}
