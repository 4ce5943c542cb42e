package org.wigeonglade.gateway.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The origins of recent streams by the key of the stream. Not thread-safe.
 */
public final class StreamOriginIndex {

	/**
	 * Time in milliseconds for which an origin is kept: several times the timeout of a
	 * route.
	 */
	static final long RETENTION_MILLIS = 30_000;

	private final Map<String, Entry> entries = new LinkedHashMap<>();

	/**
	 * Adds an origin; the first one of a stream counts.
	 * @param key the key of the stream, not null
	 * @param origin the origin, not null
	 * @param nowMillis the monotonic time in milliseconds, not lower than in earlier
	 * calls
	 */
	public void add(String key, StreamOrigin origin, long nowMillis) {
		this.entries.putIfAbsent(key, new Entry(origin, nowMillis));
		Iterator<Entry> oldest = this.entries.values().iterator();
		while (oldest.hasNext() && nowMillis - oldest.next().addedMillis > RETENTION_MILLIS) {
			oldest.remove();
		}
	}

	/**
	 * Returns the origin of a stream.
	 * @param key the key of the stream, not null
	 * @return the origin, empty if it is not known or was added long ago
	 */
	public Optional<StreamOrigin> find(String key) {
		return Optional.ofNullable(this.entries.get(key)).map(Entry::origin);
	}

	private record Entry(StreamOrigin origin, long addedMillis) {

	}

}
