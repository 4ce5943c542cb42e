package org.wigeonglade.gateway.store;

import java.util.Objects;

/**
 * Record of a keyed stream.
 *
 * @param offset the offset in the stream, -1 for a record that has not been appended
 * @param key the key, not null
 * @param value the value, or null for a tombstone that removes the key
 */
public record KeyedRecord(long offset, String key, byte[] value) {

	/**
	 * Creates the record.
	 * @throws NullPointerException if the key is null
	 */
	public KeyedRecord {
		Objects.requireNonNull(key, "key");
	}

	/**
	 * Creates a record to be appended.
	 * @param key the key, not null
	 * @param value the value, or null to remove the key
	 * @return a record without an offset, never null
	 */
	public static KeyedRecord of(String key, byte[] value) {
		return new KeyedRecord(-1, key, value);
	}

	/**
	 * Returns the size of the key and the value.
	 * @return the size in bytes, without the overhead of the store
	 */
	public int size() {
		return this.key.length() + ((this.value != null) ? this.value.length : 0);
	}

}
