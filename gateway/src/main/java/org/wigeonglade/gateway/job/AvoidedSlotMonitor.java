package org.wigeonglade.gateway.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.gateway.fleet.Candidate;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.log.GatewayEvent;

/**
 * Logs services whose items wait although runners have idle slots, because these runners
 * are avoided. Not thread-safe.
 */
final class AvoidedSlotMonitor {

	private static final EventLogger LOG = EventLogger.of(AvoidedSlotMonitor.class);

	/**
	 * Time in milliseconds after which the wait is logged. A few runners are avoided for
	 * shorter times after each crash.
	 */
	static final long LOG_DELAY_MILLIS = 2_000;

	private final Map<ServiceName, Long> sinceMillis = new HashMap<>();

	private final Set<ServiceName> logged = new HashSet<>();

	private final Map<ServiceName, Set<RunnerId>> observed = new HashMap<>();

	/**
	 * Records that an item was not placed.
	 * @param service the service, not null
	 * @param candidates its runners, not null
	 */
	void recordWaiting(ServiceName service, List<Candidate> candidates) {
		candidates.stream()
			.filter((c) -> c.avoided() && c.getBatchCapacity() > 0)
			.forEach((c) -> this.observed.computeIfAbsent(service, (s) -> new HashSet<>()).add(c.entry().id()));
	}

	/**
	 * Ends a scheduling step and logs what has lasted for long enough.
	 * @param waiting the number of items that wait for a slot
	 * @param nowMillis the monotonic time in milliseconds
	 */
	void endStep(int waiting, long nowMillis) {
		this.sinceMillis.keySet().retainAll(this.observed.keySet());
		this.logged.removeIf((service) -> {
			boolean over = !this.observed.containsKey(service);
			if (over) {
				LOG.log(GatewayEvent.ITEMS_NOT_HELD_BACK, service);
			}
			return over;
		});
		this.observed.forEach((service, runners) -> {
			long since = this.sinceMillis.computeIfAbsent(service, (s) -> nowMillis);
			if (nowMillis - since >= LOG_DELAY_MILLIS && this.logged.add(service)) {
				LOG.log(GatewayEvent.ITEMS_HELD_BACK, service, waiting, runners);
			}
		});
		this.observed.clear();
	}

}
