package org.wigeonglade.core.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.platform.HostRole;
import org.wigeonglade.core.platform.ListedHost;

/**
 * Mutable table of the listed upstreams and of the incarnations of them that are leaving.
 * Leaving takes precedence over live until a higher incarnation is listed. Not
 * thread-safe.
 */
final class UpstreamTable {

	private final long removalDelayMillis;

	private final Map<UpstreamId, Entry> entries = new TreeMap<>();

	private final Map<UpstreamId, Leaving> leaving = new HashMap<>();

	UpstreamTable(long removalDelayMillis) {
		this.removalDelayMillis = removalDelayMillis;
	}

	void applyList(Collection<ListedHost> list, long nowMillis) {
		for (ListedHost host : newestPerAddress(list)) {
			UpstreamId id = UpstreamId.of(host.name());
			Entry known = this.entries.get(id);
			if (known == null || host.incarnation() >= known.host.incarnation()) {
				this.entries.put(id, new Entry(host, nowMillis));
				this.entries.values()
					.removeIf((e) -> e.host.address().equals(host.address()) && !e.host.name().equals(host.name()));
			}
			if (host.leaving()) {
				markLeaving(id, host.incarnation(), nowMillis);
			}
		}
		// A list that lacks a member may be a stale copy, so removal is delayed.
		this.entries.values().removeIf((e) -> nowMillis - e.listedMillis >= this.removalDelayMillis);
		this.leaving.entrySet()
			.removeIf((e) -> !this.entries.containsKey(e.getKey()) && nowMillis
					- e.getValue().sinceMillis() >= MemberTiming.RETENTION_FACTOR * this.removalDelayMillis);
	}

	/**
	 * Marks an incarnation and all lower ones as leaving.
	 * @param id the upstream
	 * @param incarnation the incarnation; 0 means the listed one
	 * @param sinceMillis the local time at which it began to leave
	 * @return false if this or a higher incarnation was already marked
	 */
	boolean markLeaving(UpstreamId id, long incarnation, long sinceMillis) {
		Entry known = this.entries.get(id);
		long leavingIncarnation = (incarnation == 0 && known != null) ? known.host.incarnation() : incarnation;
		Leaving old = this.leaving.get(id);
		if (old != null && old.incarnation() >= leavingIncarnation) {
			return false;
		}
		this.leaving.put(id, new Leaving(leavingIncarnation, sinceMillis));
		return true;
	}

	Map<UpstreamId, Leaving> getLeaving() {
		return this.leaving;
	}

	List<UpstreamMember> toMembers() {
		List<UpstreamMember> members = new ArrayList<>();
		this.entries.forEach((id, entry) -> {
			ListedHost host = entry.host;
			Leaving departure = this.leaving.get(id);
			members.add(new UpstreamMember(id, host.incarnation(), ServiceName.of(host.service()),
					FailureDomain.of(host.failureDomain()), Region.of(host.region()), host.address(),
					host.role() == HostRole.RUNNER, host.models(),
					departure != null && departure.incarnation() >= host.incarnation()));
		});
		return members;
	}

	void shiftTimes(long millis) {
		this.entries.values().forEach((e) -> e.listedMillis += millis);
	}

	// Two names at one address are an old member and its replacement; only the one with
	// the higher incarnation is running.
	private static Collection<ListedHost> newestPerAddress(Collection<ListedHost> list) {
		Map<String, ListedHost> byAddress = list.stream()
			.collect(Collectors.toMap(ListedHost::address, (h) -> h,
					(a, b) -> (Comparator.comparingLong(ListedHost::incarnation)
						.thenComparing(ListedHost::name)
						.compare(a, b) >= 0) ? a : b));
		return Set.copyOf(byAddress.values());
	}

	/**
	 * Leaving state of an upstream.
	 *
	 * @param incarnation the highest incarnation that is leaving
	 * @param sinceMillis the local time at which it began to leave
	 */
	record Leaving(long incarnation, long sinceMillis) {

	}

	private static final class Entry {

		private final ListedHost host;

		private long listedMillis;

		private Entry(ListedHost host, long listedMillis) {
			this.host = host;
			this.listedMillis = listedMillis;
		}

	}

}
