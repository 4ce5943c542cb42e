package org.wigeonglade.core.account;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

import org.wigeonglade.schema.generated.log.AccountRecord;

/**
 * Causal order of events: an event never precedes its cause, even if the clocks of two
 * hosts differ. Events without a causal relation are ordered by time.
 */
public final class CausalOrder {

	private static final Comparator<AccountRecord> BY_TIME = Comparator.comparingLong(AccountRecord::getWallTimeMs)
		.thenComparing(AccountRecord::getHost)
		.thenComparingLong(CausalOrder::sequenceOf)
		.thenComparing(AccountRecord::getEventId);

	private CausalOrder() {
	}

	/**
	 * Sorts events and removes duplicates.
	 * @param events the events in any order, duplicates allowed
	 * @return each event once, causes before effects
	 */
	public static List<AccountRecord> sort(Collection<AccountRecord> events) {
		Map<String, AccountRecord> byId = new LinkedHashMap<>();
		events.forEach((event) -> byId.putIfAbsent(event.getEventId(), event));
		Map<String, List<AccountRecord>> effects = new HashMap<>();
		PriorityQueue<AccountRecord> ready = new PriorityQueue<>(BY_TIME);
		for (AccountRecord event : byId.values()) {
			String cause = event.getCauseEventId();
			if (byId.containsKey(cause) && !cause.equals(event.getEventId())) {
				effects.computeIfAbsent(cause, (id) -> new ArrayList<>()).add(event);
			}
			else {
				ready.add(event);
			}
		}
		List<AccountRecord> ordered = new ArrayList<>(byId.size());
		while (!ready.isEmpty()) {
			AccountRecord event = ready.poll();
			ordered.add(event);
			ready.addAll(effects.getOrDefault(event.getEventId(), List.of()));
		}
		if (ordered.size() < byId.size()) {
			// Events in a cycle of causes are malformed; they come last, ordered by time.
			Set<AccountRecord> placed = new HashSet<>(ordered);
			byId.values().stream().filter((event) -> !placed.contains(event)).sorted(BY_TIME).forEach(ordered::add);
		}
		return ordered;
	}

	// The events must be in order of recording, which puts causes before effects.
	static List<AccountRecord> withCauses(List<AccountRecord> events, AccountQuery query) {
		Set<String> selectedIds = new HashSet<>();
		for (int i = events.size() - 1; i >= 0; i--) {
			AccountRecord event = events.get(i);
			if (query.matches(event) || selectedIds.contains(event.getEventId())) {
				selectedIds.add(event.getEventId());
				selectedIds.add(event.getCauseEventId());
			}
		}
		selectedIds.remove("");
		return events.stream().filter((event) -> selectedIds.contains(event.getEventId())).toList();
	}

	private static long sequenceOf(AccountRecord event) {
		String id = event.getEventId();
		try {
			return Long.parseLong(id.substring(id.lastIndexOf(':') + 1));
		}
		catch (NumberFormatException ex) {
			return 0;
		}
	}

}
