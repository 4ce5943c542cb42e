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
 * Orders events by cause: an event never comes before its cause, even when the clocks of
 * two hosts differ. Events without a common cause are ordered by time.
 */
public final class AccountOrder {

	private static final Comparator<AccountRecord> BY_TIME = Comparator.comparingLong(AccountRecord::getWallTimeMs)
		.thenComparing(AccountRecord::getHost)
		.thenComparingLong(AccountOrder::sequenceOf)
		.thenComparing(AccountRecord::getEventId);

	private AccountOrder() {
	}

	/**
	 * Returns each event once, causes first.
	 * @param events the events in any order, duplicates allowed
	 * @return the ordered events
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
			// Events in a cycle of causes are malformed; they are told last, by time.
			Set<AccountRecord> told = new HashSet<>(ordered);
			byId.values().stream().filter((event) -> !told.contains(event)).sorted(BY_TIME).forEach(ordered::add);
		}
		return ordered;
	}

	static List<AccountRecord> withCauses(List<AccountRecord> events, AccountQuery query) {
		Set<String> wanted = new HashSet<>();
		for (int i = events.size() - 1; i >= 0; i--) {
			AccountRecord event = events.get(i);
			if (query.matches(event) || wanted.contains(event.getEventId())) {
				wanted.add(event.getEventId());
				wanted.add(event.getCauseEventId());
			}
		}
		wanted.remove("");
		return events.stream().filter((event) -> wanted.contains(event.getEventId())).toList();
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
