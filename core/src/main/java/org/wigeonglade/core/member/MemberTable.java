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
 * Membership table with failure detection, a deterministic function of host lists,
 * digests, notices and the local monotonic clock. Wall clocks are not used. Not
 * thread-safe.
 */
public final class MemberTable {

	/** Two links to each other domain tolerate the loss of one host. */
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
	 * @param self the host that owns the table, not null
	 * @param domain its failure domain, not null
	 * @param timing the time-out and the mesh limit, not null
	 * @return the table
	 */
	public static MemberTable of(HostId self, FailureDomain domain, MemberTiming timing) {
		return new MemberTable(self, domain, timing);
	}

	/**
	 * Applies a host list. An empty list is ignored as an outage of the list, because it
	 * lacks even this host.
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
	 * Applies the view of a host in a digest, be it that of the sender or a relayed one.
	 * @param view the view; its names must be valid
	 * @param nowMillis the local monotonic time
	 * @return whether the view was newer than the known state
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
	 * Applies the report of a leaving upstream, from a digest or a notice.
	 * @param upstream the upstream, not null
	 * @param incarnation the incarnation that leaves; 0 means the known one
	 * @param ageMillis the time since it began to leave; a negative one counts as 0
	 * @param nowMillis the local monotonic time
	 * @return whether the state of the upstream changed
	 */
	public boolean applyLeaving(UpstreamId upstream, long incarnation, long ageMillis, long nowMillis) {
		return this.upstreams.markLeaving(upstream, incarnation, nowMillis - Math.max(0, ageMillis));
	}

	/**
	 * Applies the notice of a host that it is stopping.
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
	 * Extends all time-outs by a pause of this process, in which it could not receive
	 * digests.
	 * @param millis the length of the pause, not negative
	 */
	public void applyPause(long millis) {
		this.hosts.values().forEach((h) -> h.shiftTimes(millis));
		this.upstreams.shiftTimes(millis);
	}

	/**
	 * Returns the snapshot of the fleet and removes unlisted members whose retention
	 * after loss has ended.
	 * @param nowMillis the local monotonic time
	 * @param platformReachable whether the last exchange with the platform succeeded
	 * @return the snapshot, never null
	 */
	public FleetView toView(long nowMillis, boolean platformReachable) {
		long retention = MemberTiming.RETENTION_FACTOR * this.timing.hostSilentMillis();
		this.hosts.values().removeIf((h) -> !h.isListed() && nowMillis - h.getLastSeenMillis() >= retention);
		return new FleetView(getLive(nowMillis).stream().map(HostRecord::toMember).toList(), this.upstreams.toMembers(),
				platformReachable);
	}

	/**
	 * Returns the hosts that are in the host list but lost.
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
	 * Returns the known addresses of all other hosts. Lost ones are included, because the
	 * path from them to this host may be the only thing that failed.
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
	 * receivers, so that both sides reconnect after a network partition.
	 * @return the receivers in order of their names
	 */
	public List<HostId> getDigestReceivers() {
		List<HostId> receivers = new ArrayList<>();
		Map<FailureDomain, List<HostRecord>> otherDomains = new TreeMap<>();
		boolean mesh = isMesh();
		for (HostRecord host : this.hosts.values()) {
			if (host.getId().equals(this.self)) {
				continue;
			}
			if (mesh || host.getDomain().equals(this.domain)) {
				receivers.add(host.getId());
			}
			else {
				otherDomains.computeIfAbsent(host.getDomain(), (d) -> new ArrayList<>()).add(host);
			}
		}
		otherDomains.forEach((other, members) -> Rendezvous
			.subset(this.self.value(), members, (h) -> h.getId().value(), LINKS_PER_DOMAIN)
			.forEach((h) -> receivers.add(h.getId())));
		return receivers;
	}

	/**
	 * Returns views of other live hosts to relay to receivers that get no digests from
	 * those hosts: first the recently changed ones, then all in turn.
	 * @param count the largest number
	 * @param full whether to send full views also of hosts that did not change recently
	 * @param nowMillis the local monotonic time
	 * @return the views
	 */
	public List<HostView> nextRelayed(int count, boolean full, long nowMillis) {
		List<HostRecord> live = getLive(nowMillis).stream()
			.filter((h) -> !h.getId().equals(this.self) && h.isDigestReceived())
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
	 * Reduces a view to the fields that change often, for receivers that know the host.
	 * @param view the view, not null
	 * @return the view without domain, region and address
	 */
	public static HostView toCompact(HostView view) {
		return HostRecord.toCompact(view);
	}

	/**
	 * Finds a host, even if it is lost.
	 * @param host the host, not null
	 * @return the host, empty if unknown
	 */
	public Optional<HostMember> find(HostId host) {
		return Optional.ofNullable(this.hosts.get(host)).map(HostRecord::toMember);
	}

	/**
	 * Returns views of the leaving upstreams for a digest.
	 * @param nowMillis the local monotonic time
	 * @return one view for each leaving upstream
	 */
	public List<UpstreamView> getLeavingViews(long nowMillis) {
		List<UpstreamView> views = new ArrayList<>();
		this.upstreams.getLeaving()
			.forEach((id,
					leaving) -> views.add(UpstreamView.newBuilder()
						.setUpstream(id.value())
						.setIncarnation(leaving.incarnation())
						.setLeaving(true)
						.setLeavingAgeMs(nowMillis - leaving.sinceMillis())
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
		boolean receivesDirectly = host.getDomain().equals(this.domain) || isMesh();
		long timeout = this.timing.hostSilentMillis() * ((receivesDirectly) ? 1 : MemberTiming.INDIRECT_TIMEOUT_FACTOR);
		return nowMillis - host.getLastSeenMillis() >= timeout;
	}

	private boolean isMesh() {
		return this.hosts.size() <= this.timing.meshLimit();
	}

}
