package org.wigeonglade.core.engine;

import java.util.List;

/**
 * Prefix cache events of an engine.
 *
 * @param events the events in order; a gap in their sequence numbers means lost events
 */
public record CacheEvents(List<CacheEvent> events) {

	/**
	 * Creates the list with a copy of the events.
	 */
	public CacheEvents {
		events = List.copyOf(events);
	}

	/**
	 * One change of the prefix cache.
	 *
	 * @param sequence the sequence number, from 1
	 * @param prefixHash the hash of the prefix
	 * @param stored true if the prefix was stored, false if it was evicted
	 */
	public record CacheEvent(long sequence, String prefixHash, boolean stored) {
	}

}
