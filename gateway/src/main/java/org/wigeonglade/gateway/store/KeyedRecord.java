package org.wigeonglade.gateway.store;

import java.util.Objects;

/**
 * A record of a keyed stream.
 *
 * @param offset the place in the stream
 * @param key the key, not null
 * @param value the value, or null if the record drops the key
 */
public record KeyedRecord(long offset, String key, byte[] value) {

	/**
	 * Creates the record.
	 */
	public KeyedRecord {
		Objects.requireNonNull(key, "key");
	}

	/**
	 * Returns a record to be appended.
	 * @param key the key, not null
	 * @param value the value, or null to drop the key
	 * @return a record without a place yet, never null
	 */
	public static KeyedRecord of(String key, byte[] value) {
		return new KeyedRecord(-1, key, value);
	}

}
