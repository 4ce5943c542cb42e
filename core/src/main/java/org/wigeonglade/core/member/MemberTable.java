package org.wigeonglade.core.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.platform.HostRole;
import org.wigeonglade.core.platform.ListedHost;
import org.wigeonglade.schema.generated.peer.HostView;
import org.wigeonglade.schema.generated.peer.UpstreamView;

/**
 * Decides who belongs to the fleet from host lists, digests, notices and the local
 * monotonic clock, without any other input. Wall clocks are not used. Not thread-safe.
 */
public final class MemberTable {

	/** Two links to each other domain survive the loss of one host. */
	private static final int LINKS_PER_DOMAIN = 2;

	private final HostId self;

	private final FailureDomain domain;

	private final MemberTiming timing;

	private final Map<HostId, HostRecord> hosts = new TreeMap<>();

	private final UpstreamTable upstreams;

	private int relayPosition;

	private MemberTable(HostId self, FailureDomain domain, MemberTiming timing) {
		this.self = self;
		this.domain = domain;
		this.timing = timing;
		this.upstreams = new UpstreamTable(timing.hostSilentMillis());
	}

	/**
	 * Returns an empty table.
	 * @param self the host that keeps the table, not null
	 * @param domain its failure domain, not null
	 * @param timing the times, not null
	 * @return the table
	 */
	public static MemberTable of(HostId self, FailureDomain domain, MemberTiming timing) {
		return new MemberTable(self, domain, timing);
	}

	/**
	 * Applies a host list. An empty list is taken as an outage of the list, since it
	 * would name not even this host.
	 * @param list the list, not null
	 * @param nowMillis the local monotonic time
	 */
	public void applyList(List<ListedHost> list, long nowMillis) {
		if (list.isEmpty()) {
			return;
		}
		Set<HostId> listed = new HashSet<>();
		for (ListedHost host : list) {
			if (host.role() == HostRole.ENTRY) {
				HostId id = HostId.of(host.name());
				listed.add(id);
				HostRecord known = this.hosts.get(id);
				if (known == null) {
					this.hosts.put(id, new HostRecord(host, nowMillis));
				}
				else {
					known.applyListed(host, nowMillis);
				}
			}
		}
		this.hosts.values().stream().filter((h) -> !listed.contains(h.getId())).forEach(HostRecord::setUnlisted);
		this.upstreams.applyList(list.stream().filter((h) -> h.role() != HostRole.ENTRY).toList(), nowMillis);
	}

	/**
	 * Applies what a digest tells of a host, be it its sender or another.
	 * @param view the view; its names must be valid
	 * @param nowMillis the local monotonic time
	 * @return whether the view was newer than the known one
	 */
	public boolean applyHost(HostView view, long nowMillis) {
		HostId id = HostId.of(view.getHost());
		HostRecord known = this.hosts.get(id);
		if (known == null && HostRecord.isCompact(view)) {
			return false;
		}
		if (known == null) {
			this.hosts.put(id, new HostRecord(view, nowMillis));
			return true;
		}
		return known.applyView(view, nowMillis, isSilent(known, nowMillis));
	}

	/**
	 * Applies what a digest or a notice tells of a leaving upstream.
	 * @param upstream the upstream, not null
	 * @param incarnation the incarnation that leaves; 0 means the known one
	 * @param ageMillis the time since it began to leave, at least 0
	 * @param nowMillis the local monotonic time
	 * @return whether this was news
	 */
	public boolean applyLeaving(UpstreamId upstream, long incarnation, long ageMillis, long nowMillis) {
		return this.upstreams.markLeaving(upstream, incarnation, nowMillis - Math.max(0, ageMillis));
	}

	/**
	 * Applies the notice of a host that it stops.
	 * @param host the host, not null
	 * @param incarnation its incarnation
	 * @param nowMillis the local monotonic time
	 */
	public void applyStopping(HostId host, long incarnation, long nowMillis) {
		HostRecord known = this.hosts.get(host);
		if (known != null) {
			known.setStopping(incarnation, nowMillis);
		}
	}

	/**
	 * Moves all times by the length of a pause of this host, in which it could not hear
	 * anyone.
	 * @param millis the length of the pause, not negative
	 */
	public void applyPause(long millis) {
		this.hosts.values().forEach((h) -> h.shift(millis));
		this.upstreams.shift(millis);
	}

	/**
	 * Returns the snapshot of the fleet and forgets members that have been lost for long.
	 * @param nowMillis the local monotonic time
	 * @param platformReachable whether the last exchange with the platform succeeded
	 * @return the snapshot, never null
	 */
	public FleetView toView(long nowMillis, boolean platformReachable) {
		long forget = MemberTiming.FORGET_FACTOR * this.timing.hostSilentMillis();
		this.hosts.values().removeIf((h) -> !h.isListed() && nowMillis - h.getLastSeenMillis() >= forget);
		return new FleetView(getLive(nowMillis).stream().map(HostRecord::toMember).toList(), this.upstreams.toMembers(),
				platformReachable);
	}

	/**
	 * Returns the hosts that are listed but lost.
	 * @param nowMillis the local monotonic time
	 * @return the hosts in order of their names
	 */
	public List<HostMember> getLost(long nowMillis) {
		return this.hosts.values()
			.stream()
			.filter((h) -> h.isListed() && isSilent(h, nowMillis))
			.map(HostRecord::toMember)
			.toList();
	}

	/**
	 * Returns the known addresses of all other hosts, lost ones included, since a lost
	 * host may be one that cannot reach this one.
	 * @return the addresses by host
	 */
	public Map<HostId, String> getAddresses() {
		Map<HostId, String> addresses = new TreeMap<>();
		this.hosts.forEach((id, host) -> {
			if (!id.equals(this.self)) {
				addresses.put(id, host.getAddress());
			}
		});
		return addresses;
	}

	/**
	 * Returns the hosts that this host sends its digest to: its whole domain and two
	 * hosts of each other domain, or every host of a small fleet. Lost hosts stay
	 * receivers, so that both sides find each other when a partition ends.
	 * @return the receivers in order of their names
	 */
	public List<HostId> getDigestReceivers() {
		List<HostId> receivers = new ArrayList<>();
		Map<FailureDomain, List<HostRecord>> foreign = new TreeMap<>();
		boolean mesh = isMesh();
		for (HostRecord host : this.hosts.values()) {
			if (host.getId().equals(this.self)) {
				continue;
			}
			if (mesh || host.getDomain().equals(this.domain)) {
				receivers.add(host.getId());
			}
			else {
				foreign.computeIfAbsent(host.getDomain(), (d) -> new ArrayList<>()).add(host);
			}
		}
		foreign.forEach((other, members) -> Rendezvous
			.subset(this.self.value(), members, (h) -> h.getId().value(), LINKS_PER_DOMAIN)
			.forEach((h) -> receivers.add(h.getId())));
		return receivers;
	}

	/**
	 * Returns views of other live hosts to relay: first the recently changed ones, then
	 * all in turn. They tell receivers of hosts that they cannot hear themselves.
	 * @param count the largest number
	 * @param full whether to include what seldom changes also of hosts that did not
	 * change
	 * @param nowMillis the local monotonic time
	 * @return the views
	 */
	public List<HostView> nextRelayed(int count, boolean full, long nowMillis) {
		List<HostRecord> live = getLive(nowMillis).stream()
			.filter((h) -> !h.getId().equals(this.self) && h.isHeard())
			.toList();
		if (live.size() <= count) {
			return live.stream().map((h) -> toRelayed(h, full, nowMillis)).toList();
		}
		Set<HostRecord> chosen = new HashSet<>();
		live.stream()
			.filter((h) -> nowMillis - h.getChangedMillis() < this.timing.hostSilentMillis())
			.sorted(Comparator.comparingLong(HostRecord::getChangedMillis).reversed())
			.limit(count / 2)
			.forEach(chosen::add);
		while (chosen.size() < count) {
			chosen.add(live.get(Math.floorMod(this.relayPosition++, live.size())));
		}
		return chosen.stream().map((h) -> toRelayed(h, full, nowMillis)).toList();
	}

	/**
	 * Shortens the view of this host to what a receiver that knows it needs.
	 * @param view the view, not null
	 * @return the view without domain, region and address
	 */
	public static HostView toCompact(HostView view) {
		return HostRecord.toCompact(view);
	}

	/**
	 * Finds a host, also a lost one.
	 * @param host the host, not null
	 * @return the host, empty if unknown
	 */
	public Optional<HostMember> find(HostId host) {
		return Optional.ofNullable(this.hosts.get(host)).map(HostRecord::toMember);
	}

	/**
	 * Returns views of the leaving upstreams for a digest.
	 * @param nowMillis the local monotonic time
	 * @return one view for each
	 */
	public List<UpstreamView> getLeavingViews(long nowMillis) {
		List<UpstreamView> views = new ArrayList<>();
		this.upstreams.getLeaving()
			.forEach((id,
					left) -> views.add(UpstreamView.newBuilder()
						.setUpstream(id.value())
						.setIncarnation(left.incarnation())
						.setLeaving(true)
						.setLeavingAgeMs(nowMillis - left.sinceMillis())
						.build()));
		return views;
	}

	private HostView toRelayed(HostRecord host, boolean full, long nowMillis) {
		boolean changed = nowMillis - host.getChangedMillis() < this.timing.hostSilentMillis();
		return host.toView(!full && !changed);
	}

	private List<HostRecord> getLive(long nowMillis) {
		return this.hosts.values().stream().filter((h) -> !isSilent(h, nowMillis)).toList();
	}

	private boolean isSilent(HostRecord host, long nowMillis) {
		if (host.getId().equals(this.self)) {
			return false;
		}
		boolean direct = host.getDomain().equals(this.domain) || isMesh();
		long limit = this.timing.hostSilentMillis() * ((direct) ? 1 : MemberTiming.INDIRECT_SILENCE_FACTOR);
		return nowMillis - host.getLastSeenMillis() >= limit;
	}

	private boolean isMesh() {
		return this.hosts.size() <= this.timing.meshLimit();
	}

}
