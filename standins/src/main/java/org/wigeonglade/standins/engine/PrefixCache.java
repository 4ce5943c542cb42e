package org.wigeonglade.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.common.hash.Hashing;

/**
 * Cache of prompt prefixes in blocks of {@value #BLOCK_CHARS} characters, which evicts
 * the least recently used block. Not thread-safe.
 */
final class PrefixCache {

	static final int BLOCK_CHARS = 64;

	private static final int RETAINED_EVENTS = 4096;

	private static final int HASH_DIGITS = 16;

	private final int maxBlocks;

	private final Map<String, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

	private final Deque<Event> events = new ArrayDeque<>();

	private long sequence;

	PrefixCache(int maxBlocks) {
		this.maxBlocks = maxBlocks;
	}

	static List<String> hashes(String prompt) {
		List<String> hashes = new ArrayList<>();
		for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
			hashes.add(hash(prompt.substring(0, end)));
		}
		return hashes;
	}

	static String hash(String prefix) {
		return Hashing.sha256().hashString(prefix, StandardCharsets.UTF_8).toString().substring(0, HASH_DIGITS);
	}

	int cachedChars(String prompt) {
		int cached = 0;
		for (String hash : hashes(prompt)) {
			if (this.blocks.get(hash) == null) {
				break;
			}
			cached += BLOCK_CHARS;
		}
		return cached;
	}

	void store(String prompt, long nanos) {
		hashes(prompt).forEach((hash) -> storeBlock(hash, nanos));
	}

	void storeBlock(String hash, long nanos) {
		if (this.maxBlocks <= 0) {
			return;
		}
		if (this.blocks.put(hash, Boolean.TRUE) == null) {
			record(hash, true, nanos);
		}
		Iterator<String> oldest = this.blocks.keySet().iterator();
		while (this.blocks.size() > this.maxBlocks && oldest.hasNext()) {
			String evicted = oldest.next();
			oldest.remove();
			record(evicted, false, nanos);
		}
	}

	boolean contains(String hash) {
		return this.blocks.containsKey(hash);
	}

	List<Event> eventsAfter(long after, long visibleBeforeNanos) {
		return this.events.stream()
			.filter((event) -> event.sequence > after && event.nanos <= visibleBeforeNanos)
			.toList();
	}

	private void record(String hash, boolean stored, long nanos) {
		this.sequence++;
		this.events.addLast(new Event(this.sequence, hash, stored, nanos));
		if (this.events.size() > RETAINED_EVENTS) {
			this.events.removeFirst();
		}
	}

	record Event(long sequence, String hash, boolean stored, long nanos) {
	}

}
