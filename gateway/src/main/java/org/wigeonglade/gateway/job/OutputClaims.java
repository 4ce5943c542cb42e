package org.wigeonglade.gateway.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.wigeonglade.core.id.HostId;

/**
 * The output of unfinished items that other hosts hold and continue although these items
 * are assigned to another host: after a change of the live hosts, while a host stops, and
 * while it cannot read the store. The host with the most output continues an item, so
 * that its output is not thrown away. Not thread-safe.
 */
public final class OutputClaims {

	/**
	 * Time in milliseconds without progress after which a claim is ignored: longer than
	 * usual bursts of online requests, in which another host would get no slot either.
	 */
	static final long MAX_IDLE_MILLIS = 5_000;

	/**
	 * Maximum number of claims of a host, so that they fit into a datagram besides its
	 * load.
	 */
	private static final int MAX_CLAIMS = 24;

	private final Map<Long, Map<HostId, Progress>> claims = new HashMap<>();

	private final Map<HostId, List<Claim>> claimsByHost = new HashMap<>();

	/**
	 * Selects the claims that a host reports.
	 * @param claims all output that it continues, not null
	 * @return those with the most output, which would take longest to run anew, never
	 * null
	 */
	static List<Claim> select(List<Claim> claims) {
		return claims.stream()
			.sorted(Comparator.comparingInt(Claim::events).reversed().thenComparing(Claim::itemHash))
			.limit(MAX_CLAIMS)
			.toList();
	}

	/**
	 * Replaces the claims of another host.
	 * @param host the other host, not null
	 * @param reported all its claims, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	void replace(HostId host, List<Claim> reported, long nowMillis) {
		if (reported.isEmpty() && !this.claimsByHost.containsKey(host)) {
			return;
		}
		Map<Long, Progress> previous = new HashMap<>();
		for (Claim claim : this.claimsByHost.getOrDefault(host, List.of())) {
			Map<HostId, Progress> hosts = this.claims.get(claim.itemHash());
			previous.put(claim.itemHash(), hosts.remove(host));
			if (hosts.isEmpty()) {
				this.claims.remove(claim.itemHash());
			}
		}
		Map<Long, Integer> current = new HashMap<>();
		reported.forEach((claim) -> current.put(claim.itemHash(), claim.events()));
		current.forEach((item, events) -> {
			Progress last = previous.get(item);
			boolean unchanged = last != null && last.events() == events;
			this.claims.computeIfAbsent(item, (key) -> new HashMap<>())
				.put(host, unchanged ? last : new Progress(events, nowMillis));
		});
		this.claimsByHost.remove(host);
		if (!current.isEmpty()) {
			this.claimsByHost.put(host,
					current.entrySet().stream().map((e) -> new Claim(e.getKey(), e.getValue())).toList());
		}
	}

	/**
	 * Finds the other host that continues an item. All hosts that know the same claims
	 * find the same host.
	 * @param itemHash the hash of the item
	 * @param self this host, not null
	 * @param events the number of events that this host holds
	 * @param alive tests whether a host is alive, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the host with the most output, empty if none has claimed the item or this
	 * host has more
	 */
	Optional<HostId> findPrecedingHost(long itemHash, HostId self, int events, Predicate<HostId> alive,
			long nowMillis) {
		HostId first = self;
		int most = events;
		for (Map.Entry<HostId, Progress> claim : this.claims.getOrDefault(itemHash, Map.of()).entrySet()) {
			HostId host = claim.getKey();
			int claimed = claim.getValue().events();
			boolean more = claimed > most || (claimed == most && host.value().compareTo(first.value()) < 0);
			if (more && claim.getValue().isRecent(nowMillis) && alive.test(host)) {
				first = host;
				most = claimed;
			}
		}
		return first.equals(self) ? Optional.empty() : Optional.of(first);
	}

	/**
	 * Returns whether a live host has claimed an item.
	 * @param itemHash the hash of the item
	 * @param alive tests whether a host is alive, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if there is a claim, whatever its output
	 */
	boolean isClaimed(long itemHash, Predicate<HostId> alive, long nowMillis) {
		return this.claims.getOrDefault(itemHash, Map.of())
			.entrySet()
			.stream()
			.anyMatch((claim) -> claim.getValue().isRecent(nowMillis) && alive.test(claim.getKey()));
	}

	/**
	 * Returns whether no host has claimed any item, as while the live hosts do not
	 * change.
	 * @return true if there is no claim
	 */
	boolean isEmpty() {
		return this.claims.isEmpty();
	}

	/**
	 * Removes the claims of hosts that are no longer registered.
	 * @param hosts the registered hosts, not null
	 */
	void retain(Collection<HostId> hosts) {
		List.copyOf(this.claimsByHost.keySet())
			.stream()
			.filter((host) -> !hosts.contains(host))
			.forEach((host) -> replace(host, List.of(), 0));
	}

	/**
	 * Output of an unfinished item that a host continues.
	 *
	 * @param itemHash the hash of the item
	 * @param events the number of events, at least 1
	 */
	public record Claim(long itemHash, int events) {

		/** Number of events of an output that is complete and not stored yet. */
		static final int COMPLETE = Integer.MAX_VALUE;

	}

	private record Progress(int events, long sinceMillis) {

		boolean isRecent(long nowMillis) {
			return nowMillis - this.sinceMillis <= MAX_IDLE_MILLIS;
		}

	}

}
