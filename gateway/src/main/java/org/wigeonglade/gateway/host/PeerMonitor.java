package org.wigeonglade.gateway.host;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.peer.PeerTable;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.gateway.store.RecordWriter;

/**
 * Monitors the liveness of the other hosts: logs lost hosts and suspected partitions of
 * failure domains, and removes the registrations of hosts that do not return. Confined to
 * the event loop.
 */
final class PeerMonitor {

	private static final EventLogger LOG = EventLogger.of(PeerMonitor.class);

	/** Silence in milliseconds after which the registration of a host is removed. */
	private static final long DEREGISTRATION_TIMEOUT_MILLIS = 120_000;

	private final HostId self;

	private final PeerTable peers;

	private final RecordWriter writer;

	private final Ticker ticker;

	private Set<FailureDomain> suspectedDomains = Set.of();

	PeerMonitor(HostId self, PeerTable peers, RecordWriter writer, Ticker ticker) {
		this.self = self;
		this.peers = peers;
		this.writer = writer;
		this.ticker = ticker;
	}

	void checkLiveness() {
		long now = this.ticker.millis();
		for (PeerTable.Peer peer : this.peers.expire(now)) {
			LOG.log(GatewayEvent.HOST_LOST, peer.getHost(), peer.getSilenceMillis(now));
		}
		logSuspectedDomains(now);
	}

	void deregisterSilentHosts() {
		long now = this.ticker.millis();
		for (PeerTable.Peer peer : List.copyOf(this.peers.getPeers())) {
			long silence = peer.getSilenceMillis(now);
			if (!peer.isAlive() && silence > DEREGISTRATION_TIMEOUT_MILLIS && isLowestEligibleHost()) {
				LOG.log(GatewayEvent.HOST_REGISTRATION_REMOVED, peer.getHost(), silence);
				this.writer.add(() -> deregistrationRecord(peer));
			}
		}
	}

	// Called when the record is written; null if the host is alive again or was
	// replaced by a later incarnation, so that its registration is kept.
	private KeyedRecord deregistrationRecord(PeerTable.Peer peer) {
		boolean stillLost = this.peers.find(peer.getHost()).filter((p) -> p == peer && !p.isAlive()).isPresent();
		return stillLost ? KeyedRecord.of(StreamStateUpdater.HOST_KEY_PREFIX + peer.getHost(), null) : null;
	}

	// Only one host removes old records; the same removal by others would be redundant.
	boolean isLowestEligibleHost() {
		return this.peers.getPeers()
			.stream()
			.filter(PeerTable.Peer::isEligible)
			.noneMatch((p) -> p.getHost().compareTo(this.self) < 0);
	}

	private void logSuspectedDomains(long now) {
		Set<FailureDomain> suspected = new HashSet<>();
		this.peers.getPeers().forEach((peer) -> suspected.add(peer.getDomain()));
		suspected.removeIf((domain) -> !this.peers.isDomainSuspected(domain, now));
		suspected.stream()
			.filter((domain) -> !this.suspectedDomains.contains(domain))
			.forEach((domain) -> LOG.log(GatewayEvent.DOMAIN_UNREACHABLE, domain));
		this.suspectedDomains.stream()
			.filter((domain) -> !suspected.contains(domain))
			.forEach((domain) -> LOG.log(GatewayEvent.DOMAIN_REACHABLE, domain,
					this.peers.isDomainSilent(domain, now) ? "a runner" : "a host"));
		this.suspectedDomains = suspected;
	}

}
