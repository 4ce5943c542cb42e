package org.wigeonglade.gateway.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.gateway.fleet.DomainReachability;
import org.wigeonglade.gateway.fleet.KvMemoryPolicy;
import org.wigeonglade.gateway.fleet.KvMemoryTracker;

/**
 * The membership table and failure detector of the other hosts, updated from
 * registrations and datagrams. Not thread-safe.
 */
public final class PeerTable {

	/** Number of other hosts up to which all hosts tell each other of each change. */
	static final int SMALL_FLEET_HOSTS = 16;

	/** Maximum interval between datagrams to a live host, in milliseconds. */
	static final long HEARTBEAT_INTERVAL_MILLIS = 250;

	/**
	 * The same interval in a large fleet, where each host has many to tell, unless
	 * workspaces are limited: a host that is silent for half a second loses its portion
	 * of their limits.
	 */
	static final long LARGE_FLEET_HEARTBEAT_INTERVAL_MILLIS = 500;

	/**
	 * Time in milliseconds without a datagram from any host of a failure domain after
	 * which the domain is suspected to be partitioned: two and a half heartbeat
	 * intervals, missed by several hosts. Longer in a large fleet by what its heartbeats
	 * are later.
	 */
	public static final long DOMAIN_SILENCE_TIMEOUT_MILLIS = 650;

	/**
	 * Time in milliseconds without a datagram after which a host is considered lost: six
	 * heartbeat intervals, three in a large fleet.
	 */
	public static final long LIVENESS_TIMEOUT_MILLIS = 1_500;

	/**
	 * Time in milliseconds without a datagram after which the reports of a host count as
	 * missing. Heartbeats are checked each 250 ms and skipped shortly after another
	 * datagram, so a sound host is silent for up to 500 ms, or 750 ms in a large fleet.
	 */
	private static final long REPORT_TIMEOUT_MILLIS = 700;

	private final Map<HostId, Peer> peers = new HashMap<>();

	private DomainReachability reachability = new DomainReachability();

	private boolean workspacesLimited;

	private long version;

	/**
	 * Sets the record of connections to runners, which shows that a failure domain is not
	 * partitioned although its hosts are silent.
	 * @param record the connections of this host, not null
	 */
	public void setReachability(DomainReachability record) {
		this.reachability = record;
	}

	/**
	 * Returns whether changes reach the hosts by way of others, since telling all of them
	 * would cost each host in proportion to the fleet. Counts registered hosts, which are
	 * the same for all hosts.
	 * @return true if there are more than {@link #SMALL_FLEET_HOSTS} other hosts
	 */
	public boolean isLargeFleet() {
		return this.peers.size() > SMALL_FLEET_HOSTS;
	}

	/**
	 * Sets whether hosts share limits of workspaces.
	 * @param limited true if the configuration limits any workspace
	 */
	public void setWorkspacesLimited(boolean limited) {
		this.workspacesLimited = limited;
	}

	/**
	 * Returns the maximum interval between datagrams to a live host.
	 * @return the interval in milliseconds
	 */
	long getHeartbeatIntervalMillis() {
		return (isLargeFleet() && !this.workspacesLimited) ? LARGE_FLEET_HEARTBEAT_INTERVAL_MILLIS
				: HEARTBEAT_INTERVAL_MILLIS;
	}

	private long extendByHeartbeat(long timeoutMillis) {
		return timeoutMillis + getHeartbeatIntervalMillis() - HEARTBEAT_INTERVAL_MILLIS;
	}

	/**
	 * Returns whether a host is alive and its reports are not missing.
	 * @param peer the host, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if it was heard lately
	 */
	boolean isHeard(Peer peer, long nowMillis) {
		return peer.isAlive() && peer.getSilenceMillis(nowMillis) <= extendByHeartbeat(REPORT_TIMEOUT_MILLIS);
	}

	/**
	 * Adds a host, or replaces an earlier incarnation of it. A host is not alive until
	 * its first datagram.
	 * @param host the host, not null
	 * @param address the address on which it receives datagrams, not null
	 * @param domain its failure domain, not null
	 * @param incarnation its incarnation, which increases with each start
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void register(HostId host, InetSocketAddress address, FailureDomain domain, long incarnation,
			long nowMillis) {
		Peer previous = this.peers.get(host);
		if (previous == null || incarnation > previous.incarnation) {
			Peer peer = new Peer(host, address, domain, incarnation);
			peer.lastReceivedMillis = nowMillis;
			this.peers.put(host, peer);
			this.version++;
		}
	}

	/**
	 * Removes a host; does nothing if it is not registered.
	 * @param host the host, not null
	 */
	public void remove(HostId host) {
		if (this.peers.remove(host) != null) {
			this.version++;
		}
	}

	/**
	 * Records a datagram from a host. Datagrams of unregistered hosts and of earlier
	 * incarnations are ignored.
	 * @param host the host, not null
	 * @param incarnation its incarnation
	 * @param leaving whether it is shutting down
	 * @param jobsCurrent whether its state of jobs is up to date
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if the host has become alive by this datagram
	 */
	public boolean recordDatagram(HostId host, long incarnation, boolean leaving, boolean jobsCurrent, long nowMillis) {
		Peer peer = this.peers.get(host);
		if (peer == null || incarnation < peer.incarnation) {
			return false;
		}
		boolean becameAlive = !peer.alive;
		if (becameAlive || peer.leaving != leaving || peer.jobStateCurrent != jobsCurrent) {
			this.version++;
		}
		peer.alive = true;
		peer.everAlive = true;
		peer.leaving = leaving;
		peer.jobStateCurrent = jobsCurrent;
		peer.lastReceivedMillis = nowMillis;
		return becameAlive;
	}

	/**
	 * Records that a relaying host has passed on a change of a host, which is not lost
	 * then. A failure domain is judged by direct datagrams only.
	 * @param peer the host, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	void recordRelayed(Peer peer, long nowMillis) {
		peer.lastRelayedMillis = nowMillis;
	}

	/**
	 * Marks the hosts as lost from which no datagram was received for
	 * {@link #LIVENESS_TIMEOUT_MILLIS}, and of which none was passed on.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the hosts that were marked by this call
	 */
	public List<Peer> expire(long nowMillis) {
		List<Peer> lost = new ArrayList<>();
		for (Peer peer : this.peers.values()) {
			long lastHeardMillis = Math.max(peer.lastReceivedMillis, peer.lastRelayedMillis);
			if (peer.alive && nowMillis - lastHeardMillis > LIVENESS_TIMEOUT_MILLIS) {
				peer.alive = false;
				this.version++;
				lost.add(peer);
			}
		}
		return lost;
	}

	/**
	 * Returns the entry of a host.
	 * @param host the host, not null
	 * @return the entry, empty if the host is not registered
	 */
	public Optional<Peer> find(HostId host) {
		return Optional.ofNullable(this.peers.get(host));
	}

	/**
	 * Returns whether an incarnation of a host, or a later one, is registered.
	 * @param host the host, not null
	 * @param incarnation the incarnation
	 * @return true if it is
	 */
	public boolean isKnown(HostId host, long incarnation) {
		Peer peer = this.peers.get(host);
		return peer != null && peer.incarnation >= incarnation;
	}

	/**
	 * Records that a host did not connect this one to a runner. It counts as not relaying
	 * until its next datagram.
	 * @param host the host, not null
	 */
	public void recordRelayFailure(HostId host) {
		find(host).ifPresent((peer) -> peer.setRelays(false));
	}

	/**
	 * Returns all registered hosts, including those that are not alive.
	 * @return a live view, not to be modified
	 */
	public Collection<Peer> getPeers() {
		return this.peers.values();
	}

	/**
	 * Returns whether a failure domain is suspected to be partitioned from this host: its
	 * hosts are {@link #isDomainSilent silent}, and no connection to one of its runners
	 * has been opened since. Hosts that were removed or failed together are silent as
	 * well.
	 * @param domain the domain, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if the runners of the domain should be avoided
	 */
	public boolean isDomainSuspected(FailureDomain domain, long nowMillis) {
		OptionalLong silentSince = findSilenceStart(domain, nowMillis);
		return silentSince.isPresent() && !this.reachability.isReachedSince(domain, silentSince.getAsLong());
	}

	/**
	 * Returns whether the hosts of a failure domain are silent: all of them that have
	 * been alive are unresponsive, and there are at least two, while a host of another
	 * domain is responsive. If no domain is responsive, this host is more likely to be
	 * partitioned itself.
	 * @param domain the domain, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if they are
	 */
	public boolean isDomainSilent(FailureDomain domain, long nowMillis) {
		return findSilenceStart(domain, nowMillis).isPresent();
	}

	private OptionalLong findSilenceStart(FailureDomain domain, long nowMillis) {
		long silenceTimeoutMillis = extendByHeartbeat(DOMAIN_SILENCE_TIMEOUT_MILLIS);
		int unresponsive = 0;
		long lastReceivedMillis = Long.MIN_VALUE;
		boolean otherDomainReachable = false;
		for (Peer peer : this.peers.values()) {
			boolean responsive = peer.alive && peer.getSilenceMillis(nowMillis) <= silenceTimeoutMillis;
			if (!peer.domain.equals(domain)) {
				otherDomainReachable |= responsive;
			}
			else if (responsive) {
				return OptionalLong.empty();
			}
			else if (peer.everAlive) {
				unresponsive++;
				lastReceivedMillis = Math.max(lastReceivedMillis, peer.lastReceivedMillis);
			}
		}
		return (unresponsive > 1 && otherDomainReachable) ? OptionalLong.of(lastReceivedMillis + silenceTimeoutMillis)
				: OptionalLong.empty();
	}

	/**
	 * Returns which of the other hosts are heard. A host counts as not heard sooner than
	 * it counts as lost: until then, the sides of a partition do not see what the other
	 * side sends to a runner.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the hosts, without those that have been silent for longer than their
	 * requests last; never null
	 */
	public List<KvMemoryPolicy.HostStatus> getHostStatuses(long nowMillis) {
		return this.peers.values()
			.stream()
			.filter((peer) -> peer.getSilenceMillis(nowMillis) <= KvMemoryTracker.REPORT_LIFETIME_MILLIS)
			.map((peer) -> new KvMemoryPolicy.HostStatus(peer.getHost(), isHeard(peer, nowMillis)))
			.toList();
	}

	/**
	 * Returns the number of other hosts that are alive.
	 * @return the number, without this host
	 */
	public int getLiveCount() {
		return (int) this.peers.values().stream().filter(Peer::isAlive).count();
	}

	/**
	 * Returns the version of the membership, which increases whenever the set of hosts
	 * that may run items may have changed.
	 * @return the version
	 */
	public long getVersion() {
		return this.version;
	}

	/**
	 * The state of another host.
	 */
	public static final class Peer {

		private final HostId host;

		private final InetSocketAddress address;

		private final FailureDomain domain;

		private final long incarnation;

		private boolean alive;

		private boolean everAlive;

		private boolean leaving;

		private boolean jobStateCurrent;

		private int waitingItems;

		private boolean relays;

		private Optional<HostId> reportRelay = Optional.empty();

		private long lastReceivedMillis;

		private long lastRelayedMillis = Long.MIN_VALUE / 2;

		private Peer(HostId host, InetSocketAddress address, FailureDomain domain, long incarnation) {
			this.host = host;
			this.address = address;
			this.domain = domain;
			this.incarnation = incarnation;
		}

		/**
		 * Returns the identifier of the host.
		 * @return the identifier, never null
		 */
		public HostId getHost() {
			return this.host;
		}

		/**
		 * Returns the address on which the host receives datagrams.
		 * @return the address, never null
		 */
		public InetSocketAddress getAddress() {
			return this.address;
		}

		/**
		 * Returns the failure domain.
		 * @return the domain, never null
		 */
		public FailureDomain getDomain() {
			return this.domain;
		}

		/**
		 * Returns the incarnation of the host.
		 * @return a number that increases with each start
		 */
		public long getIncarnation() {
			return this.incarnation;
		}

		/**
		 * Returns whether the host is alive by the failure detector.
		 * @return true from its first datagram until it is marked as lost
		 */
		public boolean isAlive() {
			return this.alive;
		}

		/**
		 * Returns whether the host may run items.
		 * @return true if it is alive, not shutting down, and its state of jobs is up to
		 * date
		 */
		public boolean isEligible() {
			return this.alive && !this.leaving && this.jobStateCurrent;
		}

		/**
		 * Returns whether the host accepts requests.
		 * @return true if it is alive and not shutting down
		 */
		public boolean isServing() {
			return this.alive && !this.leaving;
		}

		/**
		 * Returns whether the host has batch items waiting, for which it is allocated a
		 * share of the idle slots.
		 * @return true if it is alive and has items that wait for a slot
		 */
		public boolean hasWaitingItems() {
			return this.alive && this.waitingItems > 0;
		}

		/**
		 * Returns whether the host connects others to runners.
		 * @return true if it reaches runners, is alive and not shutting down
		 */
		public boolean isRelaying() {
			return isServing() && this.relays;
		}

		void setRelays(boolean value) {
			this.relays = value;
		}

		/**
		 * Returns the host that tells this one of changes at others.
		 * @return the host, empty if they tell it themselves
		 */
		Optional<HostId> getReportRelay() {
			return this.reportRelay;
		}

		void setReportRelay(Optional<HostId> relay) {
			this.reportRelay = relay;
		}

		void setWaitingItems(int count) {
			this.waitingItems = count;
		}

		/**
		 * Returns the time since the last datagram of the host, or since its registration
		 * if there was none.
		 * @param nowMillis the monotonic time in milliseconds
		 * @return the time in milliseconds
		 */
		public long getSilenceMillis(long nowMillis) {
			return nowMillis - this.lastReceivedMillis;
		}

	}

}
