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
 * Keeps the upstreams that the host list names and which incarnations of them are
 * leaving. Leaving takes precedence over live until a higher incarnation appears. Not
 * thread-safe.
 */
final class UpstreamTable {

	private final long missingMillis;

	private final Map<UpstreamId, Entry> entries = new TreeMap<>();

	private final Map<UpstreamId, Leaving> leaving = new HashMap<>();

	UpstreamTable(long missingMillis) {
		this.missingMillis = missingMillis;
	}

	void applyList(Collection<ListedHost> list, long nowMillis) {
		for (ListedHost host : dropReplaced(list)) {
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
		// One list that misses a member may be a lagging copy of the list.
		this.entries.values().removeIf((e) -> nowMillis - e.listedMillis >= this.missingMillis);
		this.leaving.entrySet()
			.removeIf((e) -> !this.entries.containsKey(e.getKey())
					&& nowMillis - e.getValue().sinceMillis() >= MemberTiming.FORGET_FACTOR * this.missingMillis);
	}

	/**
	 * Marks an incarnation and all before it as leaving.
	 * @param id the upstream
	 * @param incarnation the incarnation; 0 means the one that is known
	 * @param sinceMillis the local time at which it began to leave
	 * @return whether this was news
	 */
	boolean markLeaving(UpstreamId id, long incarnation, long sinceMillis) {
		Entry known = this.entries.get(id);
		long which = (incarnation == 0 && known != null) ? known.host.incarnation() : incarnation;
		Leaving old = this.leaving.get(id);
		if (old != null && old.incarnation() >= which) {
			return false;
		}
		this.leaving.put(id, new Leaving(which, sinceMillis));
		return true;
	}

	Map<UpstreamId, Leaving> getLeaving() {
		return this.leaving;
	}

	List<UpstreamMember> toMembers() {
		List<UpstreamMember> members = new ArrayList<>();
		this.entries.forEach((id, entry) -> {
			ListedHost host = entry.host;
			Leaving left = this.leaving.get(id);
			members.add(new UpstreamMember(id, host.incarnation(), ServiceName.of(host.service()),
					FailureDomain.of(host.failureDomain()), Region.of(host.region()), host.address(),
					host.role() == HostRole.RUNNER, host.models(),
					left != null && left.incarnation() >= host.incarnation()));
		});
		return members;
	}

	void shift(long millis) {
		this.entries.values().forEach((e) -> e.listedMillis += millis);
	}

	// Two names at one address are the old and the new member there; the higher
	// incarnation is the one that answers.
	private static Collection<ListedHost> dropReplaced(Collection<ListedHost> list) {
		Map<String, ListedHost> byAddress = list.stream()
			.collect(Collectors.toMap(ListedHost::address, (h) -> h,
					(a, b) -> (Comparator.comparingLong(ListedHost::incarnation)
						.thenComparing(ListedHost::name)
						.compare(a, b) >= 0) ? a : b));
		return Set.copyOf(byAddress.values());
	}

	/**
	 * Holds which incarnation is leaving.
	 *
	 * @param incarnation the highest incarnation that is leaving
	 * @param sinceMillis the local time at which it began
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
